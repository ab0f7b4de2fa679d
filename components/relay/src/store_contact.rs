//! Times at which the platform's store is known to have answered.

use std::time;

/// Time without an answer to any known instance that counts as an outage of the store.
const OUTAGE_TIME: time::Duration = time::Duration::from_millis(2_500);

/// Time after an outage within which live servers whose entries have expired register again.
pub(crate) const REGISTRATION_TIME: time::Duration = time::Duration::from_millis(1_700);

/// Times at which the platform's store is known to have answered this instance or another one.
///
/// An instance that was away itself can't tell this from an outage until it hears of the others.
#[derive(Debug, Default)]
pub(crate) struct StoreContact {
    answered_at: Option<clock::Timestamp>,
    /// End of the last outage.
    returned_at: Option<clock::Timestamp>,
}

impl StoreContact {
    /// Records a read that was sent at `sent_at` and answered.
    pub(crate) fn record_answer(&mut self, sent_at: clock::Timestamp) {
        let is_return = self
            .answered_at
            .is_some_and(|answered_at| sent_at.since(answered_at) > OUTAGE_TIME);
        if is_return {
            self.returned_at = Some(sent_at);
        }
        self.answered_at = self.answered_at.max(Some(sent_at));
    }

    /// Records that the store was restored from a copy, so that entries may be missing.
    pub(crate) const fn record_restoration(&mut self, now: clock::Timestamp) {
        self.returned_at = Some(now);
    }

    /// Returns the time until which entries may be missing whose servers are alive; `None` if that
    /// has passed.
    pub(crate) fn entries_missing_until(&self, now: clock::Timestamp) -> Option<clock::Timestamp> {
        self.returned_at
            .map(|returned_at| returned_at + REGISTRATION_TIME)
            .filter(|until| now < *until)
    }
}
