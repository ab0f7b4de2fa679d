//! Quarantine of one suspect.

use std::time;

/// Duration of the first quarantine of a whole request. Another request that ran beside the cause of
/// all crashes may be quarantined with it.
const FIRST_REQUEST_TIME: time::Duration = time::Duration::from_secs(80);

/// Duration of the quarantine of a segment, and of a request that crashed a server after its first
/// quarantine.
const QUARANTINE_TIME: time::Duration = time::Duration::from_secs(600);

/// Time before the end of a quarantine from which instances let requests pass, each from another
/// moment on, so that the first one notices whether the suspect still crashes servers.
const RELEASE_SPREAD: time::Duration = time::Duration::from_secs(20);

/// Time after the start of a quarantine within which requests that were sent before it may crash
/// servers.
const IN_FLIGHT_TIME: time::Duration = time::Duration::from_secs(5);

/// Quarantine of one suspect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuarantineEntry {
    since: clock::Timestamp,
    /// Latest end at all instances.
    until: clock::Timestamp,
    /// End at this instance.
    ends_here: clock::Timestamp,
}

impl QuarantineEntry {
    /// Creates the quarantine of a suspect that is proven now.
    pub(crate) fn proven(
        now: clock::Timestamp,
        is_first_of_request: bool,
        release_draw: f64,
    ) -> Self {
        let duration = if is_first_of_request {
            FIRST_REQUEST_TIME
        } else {
            QUARANTINE_TIME
        };
        Self::lasting(now, duration, release_draw)
    }

    /// Creates a quarantine that ends after `remaining` at the latest. `release_draw`, between 0 and
    /// 1, sets how much earlier it ends at this instance.
    pub(crate) fn lasting(
        now: clock::Timestamp,
        remaining: time::Duration,
        release_draw: f64,
    ) -> Self {
        let until = now + remaining;
        Self {
            since: now,
            until,
            ends_here: until.before(RELEASE_SPREAD.mul_f64(release_draw)),
        }
    }

    /// Returns the time to the latest end at all instances.
    pub(crate) fn remaining(&self, now: clock::Timestamp) -> time::Duration {
        self.until.since(now)
    }

    /// Returns the time to the end at this instance.
    pub(crate) fn remaining_here(&self, now: clock::Timestamp) -> time::Duration {
        self.ends_here.since(now)
    }

    /// Returns whether a crash that is reported now may be of a request from before the quarantine.
    pub(crate) fn is_recent(&self, now: clock::Timestamp) -> bool {
        now.since(self.since) < IN_FLIGHT_TIME
    }
}
