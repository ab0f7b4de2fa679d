//! Crashes of engines under prompts with one segment.

use std::time;

/// Minimum time between two crashes that count. Engines that fail together are one failure.
const CRASH_SPACING: time::Duration = time::Duration::from_millis(200);

/// Time for which a crash is remembered.
const CRASH_MEMORY: time::Duration = time::Duration::from_secs(600);

/// Time for which a crash is remembered after its segment was cleared, so that late state updates
/// don't report it again.
const CLEARED_MEMORY: time::Duration = time::Duration::from_secs(30);

/// Largest number of crashes that are remembered.
const MAX_CRASHES: usize = 64;

/// A crash that was seen by this instance or another.
#[derive(Clone, Copy, Debug)]
struct SeenCrash {
    at: clock::Timestamp,
    request: u64,
    is_own: bool,
    /// Whether the segment has not been cleared since.
    is_suspected: bool,
}

/// Crashes of engines under prompts with one segment, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct SegmentCrashes {
    crashes: Vec<SeenCrash>,
}

impl SegmentCrashes {
    /// Adds a crash under a request; returns whether it was unknown.
    pub(crate) fn add(&mut self, now: clock::Timestamp, request: u64, is_own: bool) -> bool {
        let is_known = self.crashes.iter().any(|crash| crash.request == request);
        if is_known || self.crashes.len() >= MAX_CRASHES {
            return false;
        }
        self.crashes.push(SeenCrash {
            at: now,
            request,
            is_own,
            is_suspected: true,
        });
        true
    }

    /// Clears the segment of the crashes so far.
    pub(crate) fn clear(&mut self) {
        for crash in &mut self.crashes {
            crash.is_suspected = false;
        }
    }

    /// Removes outdated crashes; returns whether some are left.
    pub(crate) fn sweep(&mut self, now: clock::Timestamp) -> bool {
        self.crashes.retain(|crash| {
            let memory = if crash.is_suspected {
                CRASH_MEMORY
            } else {
                CLEARED_MEMORY
            };
            now.since(crash.at) < memory
        });
        !self.crashes.is_empty()
    }

    /// Returns whether a crash has happened since the segment was last cleared.
    pub(crate) fn is_suspected(&self) -> bool {
        self.crashes.iter().any(|crash| crash.is_suspected)
    }

    /// Returns the crashes that this instance has seen itself since the segment was last cleared:
    /// their times and requests.
    pub(crate) fn own(&self) -> impl Iterator<Item = (clock::Timestamp, u64)> {
        self.crashes
            .iter()
            .filter(|crash| crash.is_own && crash.is_suspected)
            .map(|crash| (crash.at, crash.request))
    }

    /// Returns the time of the first of at least `limit` crashes since the segment was last
    /// cleared, with a minimum time in between; `None` if there are fewer.
    pub(crate) fn first_of(&self, limit: usize) -> Option<clock::Timestamp> {
        let mut first = None;
        let mut last: Option<clock::Timestamp> = None;
        let mut count = 0;
        for crash in self.crashes.iter().filter(|crash| crash.is_suspected) {
            if last.is_none_or(|last| crash.at.since(last) >= CRASH_SPACING) {
                first.get_or_insert(crash.at);
                last = Some(crash.at);
                count += 1;
            }
        }
        first.filter(|_| count >= limit)
    }
}
