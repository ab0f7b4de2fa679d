//! Which instances of the fleet are in touch.

use std::time;

/// Which of the other known instances are in touch.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetContact {
    /// Other instances that are known and aren't draining.
    pub known: u32,
    /// Those of them that are in touch.
    pub in_touch: u32,
    /// Time since the newest update of any of them.
    pub newest: Option<time::Duration>,
    /// Time since the last update of the instance in touch that has been silent the longest.
    pub oldest: Option<time::Duration>,
}

impl FleetContact {
    /// Counts an instance that has been silent for `silence`.
    pub(crate) fn record(&mut self, silence: time::Duration, timeout: time::Duration) {
        self.known += 1;
        self.newest = Some(self.newest.map_or(silence, |newest| newest.min(silence)));
        if silence < timeout {
            self.in_touch += 1;
            self.oldest = self.oldest.max(Some(silence));
        }
    }

    /// Counts instances that have not been heard of.
    pub(crate) fn add_silent(&mut self, count: usize) {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.known = self.known.saturating_add(count);
    }

    /// Returns the share of the fleet that is in touch, this instance included.
    #[must_use]
    pub fn share(&self) -> f64 {
        f64::from(self.in_touch + 1) / f64::from(self.known + 1)
    }

    /// Returns the share of this instance alone.
    #[must_use]
    pub fn lone_share(&self) -> f64 {
        1.0 / f64::from(self.known + 1)
    }
}
