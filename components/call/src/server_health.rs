//! Ejection of a failing backend server and its gradual return.

use std::time;

/// Failures in a row after which a server is ejected.
const FAILURE_LIMIT: u32 = 5;

/// Time of the first ejection; it doubles with each one in a row.
const EJECTION_TIME: time::Duration = time::Duration::from_secs(1);

/// Longest ejection of a server that fails.
pub const FAILURE_CAP: time::Duration = time::Duration::from_secs(4);

/// Longest ejection of a server that is slow without load.
pub const SLOWNESS_CAP: time::Duration = time::Duration::from_secs(30);

/// Time after an ejection in which another one counts as in a row with it.
const ROW_TIME: time::Duration = time::Duration::from_secs(30);

/// Time over which a server that returns receives its full share again.
const RETURN_TIME: time::Duration = time::Duration::from_secs(4);

/// Share of its limit that a server receives when it begins to return.
const RETURN_SHARE: f64 = 0.1;

/// Whether a backend server may receive calls, and what share of its limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    failures: u32,
    ejections: u32,
    /// End of the last ejection.
    ejected_until: clock::Timestamp,
    /// End of the last ejection, kept until the server has fully returned.
    returns_at: Option<clock::Timestamp>,
}

impl ServerHealth {
    /// Returns the share of the limit that the server may use.
    pub fn share(&self, now: clock::Timestamp) -> f64 {
        let Some(returns_at) = self.returns_at else {
            return 1.0;
        };
        if now < returns_at {
            return 0.0;
        }
        let elapsed = now.since(returns_at).as_secs_f64() / RETURN_TIME.as_secs_f64();
        (RETURN_SHARE + elapsed).min(1.0)
    }

    /// Returns the end of the current ejection.
    pub fn ejected_until(&self, now: clock::Timestamp) -> Option<clock::Timestamp> {
        self.returns_at.filter(|returns_at| *returns_at > now)
    }

    /// Returns whether the server is ejected or not yet fully back.
    pub const fn is_impaired(&self) -> bool {
        self.returns_at.is_some()
    }

    /// Takes in a call that ended well.
    pub fn succeeded(&mut self, now: clock::Timestamp) {
        self.failures = 0;
        if self.share(now) >= 1.0 {
            self.returns_at = None;
        }
    }

    /// Takes in a failure; returns whether the server should be ejected.
    pub fn failed(&mut self, now: clock::Timestamp) -> bool {
        self.failures += 1;
        let returning = self.returns_at.is_some() && self.ejected_until(now).is_none();
        self.failures >= FAILURE_LIMIT || returning
    }

    /// Ejects the server for `cap` at most.
    pub fn eject(&mut self, now: clock::Timestamp, cap: time::Duration) {
        if now.since(self.ejected_until) > ROW_TIME {
            self.ejections = 0;
        }
        let time = EJECTION_TIME * 2_u32.pow(self.ejections.min(8));
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = now + time.min(cap);
        self.returns_at = Some(self.ejected_until);
    }
}
