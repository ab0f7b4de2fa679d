//! Quarantine of prompt segments that crash engines.
//!
//! A crash ends all streams of an engine, so a single one says little about the prompts that waited
//! there for their first event. Several crashes under different requests tell which segment causes
//! them, if no prompt with it has been answered meanwhile. Segments that sound prompts share are
//! cleared by the answers to those.

use std::{cmp, collections, time};

use crate::{crash_notice, crash_report, segment_crashes};

/// Number of crashes from which a segment is quarantined.
const CRASH_LIMIT: usize = 3;

/// Duration of a quarantine.
const QUARANTINE_TIME: time::Duration = time::Duration::from_secs(600);

/// Time for which other instances are told that a segment is cleared.
const CLEARANCE_TIME: time::Duration = time::Duration::from_secs(5);

/// Interval at which outdated entries are removed.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Largest number of segments under which crashes are remembered.
const MAX_SEGMENTS: usize = 1_024;

/// Largest number of reports, clearances and quarantines in a state update each.
const MAX_SENT: usize = 16;

/// Answer to a prompt.
#[derive(Clone, Debug)]
struct SeenAnswer {
    at: clock::Timestamp,
    segments: Vec<u64>,
}

/// Quarantine of prompt segments that crash engines.
#[derive(Clone, Debug, Default)]
pub struct SegmentQuarantine {
    crashes: collections::BTreeMap<u64, segment_crashes::SegmentCrashes>,
    /// Last answer to a prompt at this instance.
    answer: Option<SeenAnswer>,
    /// Segments that an answer at this instance has cleared, with the time of the answer.
    cleared: collections::BTreeMap<u64, clock::Timestamp>,
    /// Quarantined segments, with the end of the quarantine.
    quarantined: collections::BTreeMap<u64, clock::Timestamp>,
    /// Segments that were quarantined before, for which one further crash suffices.
    relapsing: collections::BTreeSet<u64>,
    swept_at: clock::Timestamp,
}

impl SegmentQuarantine {
    /// Records that an engine crashed before the first event of the answer to a request.
    pub fn record_crash(&mut self, now: clock::Timestamp, request: u64, segments: &[u64]) {
        self.sweep(now);
        for segment in segments.iter().copied() {
            let report = crash_report::CrashReport { segment, request };
            self.add(now, report, true);
        }
    }

    /// Records that the answer to a prompt with these segments was completed, which clears them.
    pub fn record_answer(&mut self, now: clock::Timestamp, segments: &[u64]) {
        self.sweep(now);
        for segment in segments {
            if self.is_suspected(*segment) || self.quarantined.contains_key(segment) {
                self.clear(*segment);
                self.cleared.insert(*segment, now);
            }
        }
        self.answer = Some(SeenAnswer {
            at: now,
            segments: segments.to_vec(),
        });
        let suspected: Vec<u64> = self.crashes.keys().copied().collect();
        for segment in suspected {
            self.quarantine_if_proven(now, segment);
        }
    }

    /// Applies what another instance knows.
    pub fn apply_notice(&mut self, now: clock::Timestamp, notice: &crash_notice::CrashNotice) {
        if *notice == crash_notice::CrashNotice::default() {
            return;
        }
        self.sweep(now);
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
    }

    /// Returns what the other instances are told.
    #[must_use]
    pub fn notice(&self, now: clock::Timestamp) -> crash_notice::CrashNotice {
        let mut cleared: Vec<_> = self
            .cleared
            .iter()
            .filter(|(_, cleared_at)| now.since(**cleared_at) < CLEARANCE_TIME)
            .collect();
        cleared.sort_by_key(|(_, cleared_at)| cmp::Reverse(**cleared_at));
        let mut quarantined = self.quarantined(now);
        quarantined.truncate(MAX_SENT);
        crash_notice::CrashNotice {
            reports: self.newest_reports(),
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

    fn newest_reports(&self) -> Vec<crash_report::CrashReport> {
        let mut reports: Vec<_> = self
            .crashes
            .iter()
            .flat_map(|(segment, crashes)| {
                crashes.own().map(|(at, request)| {
                    let report = crash_report::CrashReport {
                        segment: *segment,
                        request,
                    };
                    (at, report)
                })
            })
            .collect();
        reports.sort_by_key(|(at, _)| cmp::Reverse(*at));
        let newest = reports.into_iter().take(MAX_SENT);
        newest.map(|(_, report)| report).collect()
    }

    fn add(&mut self, now: clock::Timestamp, report: crash_report::CrashReport, is_own: bool) {
        let is_full = self.crashes.len() >= MAX_SEGMENTS;
        if is_full && !self.crashes.contains_key(&report.segment) {
            return;
        }
        let crashes = self.crashes.entry(report.segment).or_default();
        if crashes.add(now, report.request, is_own) {
            self.quarantine_if_proven(now, report.segment);
        }
    }

    fn is_suspected(&self, segment: u64) -> bool {
        self.crashes
            .get(&segment)
            .is_some_and(segment_crashes::SegmentCrashes::is_suspected)
    }

    fn clear(&mut self, segment: u64) {
        if let Some(crashes) = self.crashes.get_mut(&segment) {
            crashes.clear();
        }
        self.quarantined.remove(&segment);
        self.relapsing.remove(&segment);
    }

    /// Removes outdated entries, at intervals.
    fn sweep(&mut self, now: clock::Timestamp) {
        if now.since(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.crashes.retain(|_, crashes| crashes.sweep(now));
        self.cleared
            .retain(|_, cleared_at| now.since(*cleared_at) < CLEARANCE_TIME);
        self.quarantined.retain(|_, until| *until > now);
    }

    fn quarantine_if_proven(&mut self, now: clock::Timestamp, segment: u64) {
        if !self.quarantined.contains_key(&segment) && self.is_proven(segment) {
            self.quarantined.insert(segment, now + QUARANTINE_TIME);
            self.relapsing.insert(segment);
        }
    }

    /// Returns whether the crashes under a segment suffice to quarantine it, while prompts without
    /// it are answered.
    fn is_proven(&self, segment: u64) -> bool {
        let limit = if self.relapsing.contains(&segment) {
            1
        } else {
            CRASH_LIMIT
        };
        let crashes = self.crashes.get(&segment);
        let first = crashes.and_then(|crashes| crashes.first_of(limit));
        first.is_some_and(|first| {
            self.answer
                .as_ref()
                .is_some_and(|answer| answer.at >= first && !answer.segments.contains(&segment))
        })
    }
}
