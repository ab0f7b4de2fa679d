//! Ejection of a failing backend server and its gradual readmission.

use std::time;

/// Consecutive failures after which a server is ejected.
const FAILURE_LIMIT: u32 = 5;

/// Duration of the first ejection; it doubles with each consecutive ejection.
const FIRST_EJECTION_TIME: time::Duration = time::Duration::from_secs(1);

/// Longest ejection of a failing server.
pub const FAILURE_EJECTION_CAP: time::Duration = time::Duration::from_secs(4);

/// Longest ejection of a server that is slow without being loaded.
pub const SLOWNESS_EJECTION_CAP: time::Duration = time::Duration::from_secs(30);

/// Time after an ejection within which another ejection counts as consecutive.
const CONSECUTIVE_EJECTION_WINDOW: time::Duration = time::Duration::from_secs(30);

/// Time in which the share of a readmitted server rises to the full limit.
const RAMP_UP_TIME: time::Duration = time::Duration::from_secs(4);

/// Share of its limit that a server receives immediately after its readmission.
const RAMP_UP_START_SHARE: f64 = 0.1;

/// Health of a backend server: its failures, its ejections and the share of its limit in use.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    failures: u32,
    ejections: u32,
    /// End of the last ejection; it shows whether the next one is consecutive.
    last_ejection_end: clock::Timestamp,
    /// End of the last ejection, from which the share rises; unset once the server has its full
    /// share again.
    readmitted_at: Option<clock::Timestamp>,
}

impl ServerHealth {
    /// Returns the share of the limit that the server may use.
    pub fn share(&self, now: clock::Timestamp) -> f64 {
        let Some(readmitted_at) = self.readmitted_at else {
            return 1.0;
        };
        if now < readmitted_at {
            return 0.0;
        }
        let progress = now.since(readmitted_at).as_secs_f64() / RAMP_UP_TIME.as_secs_f64();
        (RAMP_UP_START_SHARE + progress).min(1.0)
    }

    /// Returns the end of the current ejection, if the server is ejected.
    pub fn ejected_until(&self, now: clock::Timestamp) -> Option<clock::Timestamp> {
        self.readmitted_at
            .filter(|readmitted_at| *readmitted_at > now)
    }

    /// Returns whether the server is ejected or does not have its full share again yet.
    pub const fn is_impaired(&self) -> bool {
        self.readmitted_at.is_some()
    }

    /// Records a successful call.
    pub fn succeeded(&mut self, now: clock::Timestamp) {
        self.failures = 0;
        if self.share(now) >= 1.0 {
            self.readmitted_at = None;
        }
    }

    /// Records a failure; returns whether the server must be ejected.
    pub fn failed(&mut self, now: clock::Timestamp) -> bool {
        self.failures += 1;
        let is_ramping_up = self.readmitted_at.is_some() && self.ejected_until(now).is_none();
        self.failures >= FAILURE_LIMIT || is_ramping_up
    }

    /// Ejects the server for at most `cap`.
    pub fn eject(&mut self, now: clock::Timestamp, cap: time::Duration) {
        if now.since(self.last_ejection_end) > CONSECUTIVE_EJECTION_WINDOW {
            self.ejections = 0;
        }
        let duration = FIRST_EJECTION_TIME * 2_u32.pow(self.ejections.min(8));
        self.ejections += 1;
        self.failures = 0;
        self.last_ejection_end = now + duration.min(cap);
        self.readmitted_at = Some(self.last_ejection_end);
    }
}
