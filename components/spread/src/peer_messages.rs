//! Handling of messages from peers.

use std::sync;

use crate::{message, note_replicator, output, state_fetch};

impl note_replicator::NoteReplicator {
    /// Handles a message from a peer.
    pub(crate) fn handle_message(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        message: message::Message,
        outputs: &mut Vec<output::Output>,
    ) {
        if from == self.own {
            return;
        }
        match message {
            message::Message::StatusRequest(status) => {
                self.record_status(now, from, status);
                self.reply(from, status.summary, outputs);
                self.check_divergence(now, from, status.summary, outputs);
            }
            message::Message::StatusReply(status) => {
                self.record_status(now, from, status);
                self.handle_status(now, from, status.summary, outputs);
            }
            message::Message::Notes(status, notes) => {
                self.record_status(now, from, status);
                self.handle_notes(now, from, status.summary, notes, outputs);
            }
            message::Message::FetchPart(summary, number) => {
                let part = self.sender.part(now, summary, number, &self.state);
                let part = part.map(message::Message::Part);
                outputs.extend(part.map(|part| output::Output::Send(from, part)));
            }
            message::Message::Part(part) => self.handle_part(now, from, part, outputs),
        }
    }

    fn record_status(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        status: message::ReplicaStatus,
    ) {
        self.peers.insert(from, (status.summary, now));
        self.gate.record_status(from, status);
    }

    /// Replies to a peer with the notes that the peer lacks, or with the status of this instance.
    fn reply(
        &self,
        to: ids::InstanceId,
        summary: message::Summary,
        outputs: &mut Vec<output::Output>,
    ) {
        let reply = if summary.revision < self.summary.revision {
            message::Message::Notes(self.own_status(), self.log.after(summary.revision))
        } else {
            message::Message::StatusReply(self.own_status())
        };
        outputs.push(output::Output::Send(to, reply));
    }

    fn handle_status(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        summary: message::Summary,
        outputs: &mut Vec<output::Output>,
    ) {
        if summary.revision < self.summary.revision {
            self.reply(from, summary, outputs);
        } else if summary.revision > self.summary.revision {
            self.request_status(from, outputs);
        } else {
            self.check_divergence(now, from, summary, outputs);
        }
    }

    fn handle_notes(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        summary: message::Summary,
        notes: Vec<message::LoggedNote>,
        outputs: &mut Vec<output::Output>,
    ) {
        let before = self.summary;
        let has_notes = !notes.is_empty();
        for note in notes {
            self.apply_note(note, outputs);
        }
        if summary.revision <= self.summary.revision {
            self.check_divergence(now, from, summary, outputs);
        } else if has_notes || before != self.summary {
            self.request_status(from, outputs);
        } else {
            // The peer sent no notes: its log lacks the next one, or the push was too large.
            self.begin_fetch(now, from, summary, outputs);
        }
    }

    /// Reports a peer with a different state at the same revision; the state with the larger digest
    /// is adopted.
    fn check_divergence(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        summary: message::Summary,
        outputs: &mut Vec<output::Output>,
    ) {
        let diverged =
            summary.revision == self.summary.revision && summary.digest != self.summary.digest;
        if !diverged {
            return;
        }
        self.divergences += 1;
        outputs.push(output::Output::Diverged(from, self.summary, summary));
        if summary > self.summary {
            self.begin_fetch(now, from, summary, outputs);
        }
    }

    fn begin_fetch(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        summary: message::Summary,
        outputs: &mut Vec<output::Output>,
    ) {
        if self.fetch.is_none() {
            let fetch = state_fetch::StateFetch::begin(now, from, summary, outputs);
            self.fetch = Some(fetch);
        }
    }

    fn handle_part(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        part: message::StatePart,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        let Some((summary, texts)) = fetch.handle_part(now, from, part, outputs) else {
            return;
        };
        self.fetch = None;
        self.install_state(summary, &texts);
        self.request_status(from, outputs);
    }

    /// Installs a state fetched from a peer if it is complete and later than the one in force.
    fn install_state(&mut self, summary: message::Summary, texts: &[sync::Arc<str>]) {
        if summary <= self.summary {
            return;
        }
        let Ok(state) = note::join(texts) else {
            return;
        };
        if message::Summary::of(&state) != summary {
            return;
        }
        self.log.clear();
        self.unpushed.clear();
        self.replace_state(state);
    }

    fn request_status(&self, to: ids::InstanceId, outputs: &mut Vec<output::Output>) {
        let request = message::Message::StatusRequest(self.own_status());
        outputs.push(output::Output::Send(to, request));
    }
}
