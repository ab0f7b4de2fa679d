//! Whether this instance may lack what the others know.

use std::time;

use crate::relay_core;

/// Time without an update of any other instance from which this one counts as cut off.
const ISOLATION_TIME: time::Duration = time::Duration::from_millis(600);

/// Age of the view from which an instance that is cut off may lack servers. A lone reader's view gets
/// 900 ms old.
const ISOLATED_VIEW_AGE: time::Duration = time::Duration::from_secs(1);

/// Time between two own updates from which the process has stood still.
const PAUSE_TIME: time::Duration = time::Duration::from_millis(600);

/// Time after a pause of the process within which it hears what the others have told meanwhile.
const CATCH_UP_TIME: time::Duration = time::Duration::from_millis(500);

/// Pauses of the process.
#[derive(Debug, Default)]
pub(super) struct ProcessPauses {
    /// Time of the last own update; `None` before the first one.
    updated_at: Option<clock::Timestamp>,
    /// End of the last pause.
    ended_at: Option<clock::Timestamp>,
}

impl ProcessPauses {
    /// Records that the process sends an update.
    pub(super) fn record_update(&mut self, now: clock::Timestamp) {
        if self.is_paused(now) {
            self.ended_at = Some(now);
        }
        self.updated_at = Some(now);
    }

    /// Records the end of a pause that the clock didn't count.
    pub(super) const fn record_end(&mut self, now: clock::Timestamp) {
        self.ended_at = Some(now);
    }

    /// Returns whether the process stands still, or did so until a moment ago.
    fn is_recent(&self, now: clock::Timestamp) -> bool {
        let has_ended = self
            .ended_at
            .is_some_and(|ended_at| now.since(ended_at) < CATCH_UP_TIME);
        has_ended || self.is_paused(now)
    }

    fn is_paused(&self, now: clock::Timestamp) -> bool {
        self.updated_at
            .is_some_and(|updated_at| now.since(updated_at) > PAUSE_TIME)
    }
}

impl relay_core::RelayCore {
    /// Records that the process was suspended without the clock counting the time.
    pub const fn record_suspension(&mut self, now: clock::Timestamp) {
        self.pauses.record_end(now);
    }

    /// Returns whether the others may use servers that this instance doesn't know: it hears nobody and
    /// its view isn't current, it has stood still, or another instance has a newer list.
    pub(super) fn is_out_of_step(&self, now: clock::Timestamp) -> bool {
        let has_old_view = self
            .tracker
            .age(now)
            .is_none_or(|age| age > ISOLATED_VIEW_AGE);
        (self.hears_nobody(now) && has_old_view)
            || self.tracker.is_list_behind()
            || self.pauses.is_recent(now)
    }

    /// Returns whether other instances are known and none is heard.
    pub(super) fn hears_nobody(&self, now: clock::Timestamp) -> bool {
        let contact = self.instances.contact(now, ISOLATION_TIME, false);
        contact.known > 0 && contact.in_touch == 0
    }
}
