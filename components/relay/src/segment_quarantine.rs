//! Quarantine of prompt segments that crash engines.
//!
//! A crash ends all streams of an engine, so a single one says little about the prompts that waited
//! there for their first event. Several crashes under different requests tell which segment causes
//! them, if no prompt with it has been answered meanwhile. Segments that sound prompts share are
//! cleared by the answers to those.

use std::{cmp, collections, time};

use crate::crash_report;

/// Number of crashes from which a segment is quarantined.
const CRASH_LIMIT: usize = 3;

/// Minimum time between two crashes that count. Engines that fail together are one failure.
const CRASH_SPACING: time::Duration = time::Duration::from_millis(200);

/// Time for which a crash is remembered.
const CRASH_MEMORY: time::Duration = time::Duration::from_secs(600);

/// Time for which a crash is remembered after its segment was cleared, so that late state updates
/// don't report it again.
const CLEARED_MEMORY: time::Duration = time::Duration::from_secs(30);

/// Duration of a quarantine.
const QUARANTINE_TIME: time::Duration = time::Duration::from_secs(600);

/// Time for which other instances are told that a segment is cleared.
const CLEARANCE_TIME: time::Duration = time::Duration::from_secs(5);

/// Largest number of reports, clearances and quarantines in a state update each.
const MAX_SENT: usize = 16;

/// A crash that was seen by this instance or another.
#[derive(Clone, Copy, Debug)]
struct SeenCrash {
    at: clock::Timestamp,
    is_own: bool,
    /// Whether the segment has not been cleared since.
    is_suspected: bool,
}

/// Quarantine of prompt segments that crash engines.
#[derive(Clone, Debug, Default)]
pub struct SegmentQuarantine {
    crashes: collections::BTreeMap<crash_report::CrashReport, SeenCrash>,
    /// Time at which a prompt was last answered here, with its segments.
    answered: Option<(clock::Timestamp, Vec<u64>)>,
    /// Segments that an answer here has cleared, with the time of the answer.
    cleared: collections::BTreeMap<u64, clock::Timestamp>,
    /// Quarantined segments, with the end of the quarantine.
    quarantined: collections::BTreeMap<u64, clock::Timestamp>,
    /// Segments that were quarantined before, for which one further crash suffices.
    relapsing: collections::BTreeSet<u64>,
}

impl SegmentQuarantine {
    /// Records that an engine crashed before the first event of the answer to a request.
    pub fn record_crash(&mut self, now: clock::Timestamp, request: u64, segments: &[u64]) {
        for segment in segments.iter().copied() {
            let report = crash_report::CrashReport { segment, request };
            self.add(now, report, true);
        }
    }

    /// Records that the answer to a prompt with these segments was completed, which clears them.
    pub fn record_answer(&mut self, now: clock::Timestamp, segments: &[u64]) {
        for segment in segments {
            if self.is_suspected(*segment) || self.quarantined.contains_key(segment) {
                self.clear(*segment);
                self.cleared.insert(*segment, now);
            }
        }
        self.answered = Some((now, segments.to_vec()));
        self.update(now);
    }

    /// Applies what another instance knows.
    pub fn apply_notice(&mut self, now: clock::Timestamp, notice: &crash_report::CrashNotice) {
        if *notice == crash_report::CrashNotice::default() {
            return;
        }
        for report in &notice.reports {
            self.add(now, *report, false);
        }
        for segment in &notice.cleared {
            self.clear(*segment);
        }
        for (segment, remaining) in &notice.quarantined {
            if !notice.cleared.contains(segment) && !self.cleared.contains_key(segment) {
                self.quarantined.entry(*segment).or_insert(now + *remaining);
            }
        }
        self.update(now);
    }

    /// Returns what the other instances are told.
    #[must_use]
    pub fn notice(&self, now: clock::Timestamp) -> crash_report::CrashNotice {
        let mut reports: Vec<_> = self
            .crashes
            .iter()
            .filter(|(_, crash)| crash.is_own && crash.is_suspected)
            .collect();
        reports.sort_by_key(|(_, crash)| cmp::Reverse(crash.at));
        let mut cleared: Vec<_> = self.cleared.iter().collect();
        cleared.sort_by_key(|(_, cleared_at)| cmp::Reverse(**cleared_at));
        let mut quarantined = self.quarantined(now);
        quarantined.truncate(MAX_SENT);
        crash_report::CrashNotice {
            reports: reports
                .into_iter()
                .map(|(report, _)| *report)
                .take(MAX_SENT)
                .collect(),
            cleared: cleared
                .into_iter()
                .map(|(segment, _)| *segment)
                .take(MAX_SENT)
                .collect(),
            quarantined,
        }
    }

    /// Returns the remaining time of the quarantine of any of the segments.
    #[must_use]
    pub fn remaining(&self, now: clock::Timestamp, segments: &[u64]) -> Option<time::Duration> {
        segments
            .iter()
            .filter_map(|segment| self.quarantined.get(segment))
            .map(|until| until.since(now))
            .filter(|remaining| !remaining.is_zero())
            .max()
    }

    /// Returns the quarantined segments with the remaining times.
    #[must_use]
    pub fn quarantined(&self, now: clock::Timestamp) -> Vec<(u64, time::Duration)> {
        let quarantined = self.quarantined.iter();
        quarantined
            .map(|(segment, until)| (*segment, until.since(now)))
            .filter(|(_, remaining)| !remaining.is_zero())
            .collect()
    }

    /// Returns whether no segment is quarantined.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty()
    }

    fn add(&mut self, now: clock::Timestamp, report: crash_report::CrashReport, is_own: bool) {
        self.crashes.entry(report).or_insert(SeenCrash {
            at: now,
            is_own,
            is_suspected: true,
        });
        self.update(now);
    }

    fn is_suspected(&self, segment: u64) -> bool {
        self.crashes
            .iter()
            .any(|(report, crash)| report.segment == segment && crash.is_suspected)
    }

    fn clear(&mut self, segment: u64) {
        for (report, crash) in &mut self.crashes {
            crash.is_suspected &= report.segment != segment;
        }
        self.quarantined.remove(&segment);
        self.relapsing.remove(&segment);
    }

    /// Forgets what is outdated, and quarantines the segments with enough crashes.
    fn update(&mut self, now: clock::Timestamp) {
        self.crashes.retain(|_, crash| {
            let memory = if crash.is_suspected {
                CRASH_MEMORY
            } else {
                CLEARED_MEMORY
            };
            now.since(crash.at) < memory
        });
        self.cleared
            .retain(|_, cleared_at| now.since(*cleared_at) < CLEARANCE_TIME);
        self.quarantined.retain(|_, until| *until > now);
        let suspected: collections::BTreeSet<u64> = self
            .crashes
            .iter()
            .filter(|(_, crash)| crash.is_suspected)
            .map(|(report, _)| report.segment)
            .collect();
        for segment in suspected {
            if !self.quarantined.contains_key(&segment) && self.is_proven(segment) {
                self.quarantined.insert(segment, now + QUARANTINE_TIME);
                self.relapsing.insert(segment);
            }
        }
    }

    /// Returns whether the crashes under a segment suffice to quarantine it, while prompts without
    /// it are answered.
    fn is_proven(&self, segment: u64) -> bool {
        let mut crashes: Vec<_> = self
            .crashes
            .iter()
            .filter(|(report, crash)| report.segment == segment && crash.is_suspected)
            .collect();
        crashes.sort_by_key(|(_, crash)| crash.at);
        let limit = if self.relapsing.contains(&segment) {
            1
        } else {
            CRASH_LIMIT
        };
        let Some((_, first)) = crashes.first() else {
            return false;
        };
        let others_answered = self
            .answered
            .as_ref()
            .is_some_and(|(at, segments)| *at >= first.at && !segments.contains(&segment));
        others_answered && count_independent(&crashes) >= limit
    }
}

/// Returns the number of crashes, oldest first, with a minimum time in between.
fn count_independent(crashes: &[(&crash_report::CrashReport, &SeenCrash)]) -> usize {
    let mut count = 0;
    let mut last: Option<clock::Timestamp> = None;
    for (_, crash) in crashes {
        if last.is_none_or(|last| crash.at.since(last) >= CRASH_SPACING) {
            last = Some(crash.at);
            count += 1;
        }
    }
    count
}
