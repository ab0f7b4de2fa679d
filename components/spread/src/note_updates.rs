//! Handling of release notes from the configuration service and from peers.

use std::sync;

use crate::{message, note_log, note_replicator, output, replication_status};

/// Maximum number of refused notes that are kept for operators.
const REFUSED_LIMIT: usize = 64;

impl note_replicator::NoteReplicator {
    /// Handles a response of the configuration service; `None` is a failed call.
    pub(crate) fn handle_response(
        &mut self,
        now: clock::Timestamp,
        values: Option<Vec<border::NoteValue>>,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(mut values) = values else {
            self.schedule.record_failure(now, &mut self.random);
            return;
        };
        let before = self.summary;
        values.sort_by_key(|value| value.revision);
        for value in &values {
            self.apply_note(note_log::to_logged_note(value), outputs);
        }
        self.schedule.record_response(now, before != self.summary);
    }

    /// Applies a note from the service or a peer, unless its revision is already in force or older.
    pub(crate) fn apply_note(
        &mut self,
        logged: message::LoggedNote,
        outputs: &mut Vec<output::Output>,
    ) {
        if logged.revision <= self.summary.revision {
            return;
        }
        match self.next_state(&logged) {
            Ok(Some(state)) => self.bring_into_force(state, logged),
            Ok(None) => {}
            // A gap isn't a fault of the note: the missing notes are requested or read later.
            Err(note::RefusalReason::RevisionGap { .. }) => {}
            Err(reason) => self.refuse(logged, reason, outputs),
        }
    }

    /// Returns the state that results from a note, or `None` while parts of the note are missing.
    fn next_state(
        &mut self,
        logged: &message::LoggedNote,
    ) -> Result<Option<note::StateInForce>, note::RefusalReason> {
        if logged.text.is_empty() {
            // The size isn't replicated; the minimum makes all instances report the same reason.
            let bytes = note::NOTE_LIMIT_BYTES + 1;
            return Err(note::RefusalReason::TooLarge { bytes });
        }
        let note =
            note::ReleaseNote::from_yaml(&logged.text).map_err(note::NoteError::into_refusal)?;
        if note.revision != logged.revision {
            return Err(note::RefusalReason::RevisionMismatch {
                found: note.revision,
                served: logged.revision,
            });
        }
        let Some(part) = note.part else {
            return self.state.apply(&note).map(Some);
        };
        if let Some(fault) = note::faults(&self.state, &note).into_iter().next() {
            return Err(fault.reason);
        }
        match self.parts.insert(part, note) {
            Some(complete) => self.state.apply(&complete).map(Some),
            None => Ok(None),
        }
    }

    fn bring_into_force(&mut self, state: note::StateInForce, logged: message::LoggedNote) {
        self.replace_state(state);
        self.log.push(logged.clone());
        self.unpushed.push(logged);
    }

    /// Reports a refused note; later notes are validated as if the refused one were empty. While no
    /// note is in force, a refused note does not advance the revision.
    fn refuse(
        &mut self,
        logged: message::LoggedNote,
        reason: note::RefusalReason,
        outputs: &mut Vec<output::Output>,
    ) {
        self.report_refusal(logged.revision, reason, outputs);
        let follows = logged.revision == self.summary.revision.next();
        if follows && self.summary.revision > ids::Revision(0) {
            let state = self.state.with_revision(logged.revision);
            self.bring_into_force(state, logged);
        }
    }

    fn report_refusal(
        &mut self,
        revision: ids::Revision,
        reason: note::RefusalReason,
        outputs: &mut Vec<output::Output>,
    ) {
        let refused = replication_status::RefusedNote {
            revision,
            message: reason.to_string(),
            reason,
        };
        if self.refused.contains(&refused) {
            return;
        }
        outputs.push(output::Output::Refused(revision, refused.reason.clone()));
        self.refused.push_back(refused);
        if self.refused.len() > REFUSED_LIMIT {
            self.refused.pop_front();
        }
    }

    /// Replaces the state in force with a later one.
    pub(crate) fn replace_state(&mut self, state: note::StateInForce) {
        self.summary = message::Summary::of(&state);
        self.state = sync::Arc::new(state);
        self.state_changed = true;
    }
}
