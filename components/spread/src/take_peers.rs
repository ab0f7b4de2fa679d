//! How a spreader takes messages of peers.

use std::sync;

use crate::{message, note_replicator, output, state_fetch};

impl note_replicator::NoteReplicator {
    /// Takes a message of a peer.
    pub(crate) fn take_message(
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
            message::Message::StatusRequest(standing) => {
                self.hear(now, from, standing);
                self.answer(from, standing.summary, outputs);
                self.compare_equal(now, from, standing.summary, outputs);
            }
            message::Message::StatusReply(standing) => {
                self.hear(now, from, standing);
                self.take_summary(now, from, standing.summary, outputs);
            }
            message::Message::Notes(standing, notes) => {
                self.hear(now, from, standing);
                self.take_notes(now, from, standing.summary, notes, outputs);
            }
            message::Message::FetchPart(summary, number) => {
                let part = self.donor.part(now, summary, number, &self.state);
                let part = part.map(message::Message::Part);
                outputs.extend(part.map(|part| output::Output::Send(from, part)));
            }
            message::Message::Part(part) => self.take_part(now, from, part, outputs),
        }
    }

    fn hear(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        standing: message::ReplicaStatus,
    ) {
        self.peers.insert(from, (standing.summary, now));
        self.gate.hear(from, standing);
    }

    /// Sends a peer the notes it lacks, or what is in force here.
    fn answer(
        &self,
        to: ids::InstanceId,
        summary: message::Summary,
        outputs: &mut Vec<output::Output>,
    ) {
        let answer = if summary.revision < self.summary.revision {
            message::Message::Notes(self.standing(), self.log.after(summary.revision))
        } else {
            message::Message::StatusReply(self.standing())
        };
        outputs.push(output::Output::Send(to, answer));
    }

    fn take_summary(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        summary: message::Summary,
        outputs: &mut Vec<output::Output>,
    ) {
        if summary.revision < self.summary.revision {
            self.answer(from, summary, outputs);
        } else if summary.revision > self.summary.revision {
            self.ask(from, outputs);
        } else {
            self.compare_equal(now, from, summary, outputs);
        }
    }

    fn take_notes(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        summary: message::Summary,
        notes: Vec<message::LoggedNote>,
        outputs: &mut Vec<output::Output>,
    ) {
        let before = self.summary;
        let carried = !notes.is_empty();
        for note in notes {
            self.take_note(note, outputs);
        }
        if summary.revision <= self.summary.revision {
            self.compare_equal(now, from, summary, outputs);
        } else if carried || before != self.summary {
            self.ask(from, outputs);
        } else {
            self.begin_fetch(now, from, summary, outputs);
        }
    }

    /// Reports a peer that has another state at the same revision; the larger digest prevails.
    fn compare_equal(
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

    fn take_part(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        part: message::StatePart,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        let Some((summary, texts)) = fetch.take(now, from, part, outputs) else {
            return;
        };
        self.fetch = None;
        self.take_whole(summary, &texts);
        self.ask(from, outputs);
    }

    /// Takes a state fetched from a peer when it is whole and later than the one in force.
    fn take_whole(&mut self, summary: message::Summary, texts: &[sync::Arc<str>]) {
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
        self.take_state(state);
    }

    fn ask(&self, from: ids::InstanceId, outputs: &mut Vec<output::Output>) {
        let ask = message::Message::StatusRequest(self.standing());
        outputs.push(output::Output::Send(from, ask));
    }
}
