//! Quarantine of requests that crash servers.
//!
//! A crash ends all requests of a server, so a single one says little about those that ran there.
//! Suspects are whole requests, which come again unchanged, and parts that different requests share:
//! the segments of prompts, and the path. Several crashes of servers under the same request, or under
//! different requests with the same part, prove the cause if no request with it has been answered meanwhile. A suspect whose crashes
//! another one in quarantine explains isn't proven by them.

use std::{cmp, collections, time};

use crate::{crash_notice, crash_report, quarantine_entry, suspect_crashes};

/// Number of crashes from which a suspect is quarantined.
const CRASH_LIMIT: usize = 3;

/// Time after the start of a quarantine from which its crashes count as explained. Until then the
/// reports of the same crash under other requests arrive, one of which may be the cause.
const EXPLANATION_DELAY: time::Duration = time::Duration::from_secs(1);

/// Time for which other instances are told that a suspect is cleared.
const CLEARANCE_TIME: time::Duration = time::Duration::from_secs(5);

/// Interval at which outdated entries are removed.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Largest number of suspects whose crashes are remembered.
const MAX_SUSPECTS: usize = 1_024;

/// Largest number of reports, clearances and quarantines in a state update each.
const MAX_SENT: usize = 24;

/// Answer to a request.
#[derive(Clone, Debug)]
struct SeenAnswer {
    at: clock::Timestamp,
    suspects: Vec<u64>,
}

/// Quarantine of requests that crash servers.
#[derive(Clone, Debug, Default)]
pub struct CrashQuarantine {
    /// Seed of the moments at which quarantines end at this instance.
    seed: u64,
    crashes: collections::BTreeMap<u64, suspect_crashes::SuspectCrashes>,
    /// Last answer to a request at this instance.
    answer: Option<SeenAnswer>,
    /// Suspects that an answer at this instance has cleared, with the time of the answer.
    cleared: collections::BTreeMap<u64, clock::Timestamp>,
    quarantined: collections::BTreeMap<u64, quarantine_entry::QuarantineEntry>,
    /// Suspects that were quarantined before, for which one further crash suffices.
    relapsing: collections::BTreeSet<u64>,
    /// Servers that crashed under a quarantined suspect, with the suspect and the start of its
    /// quarantine.
    explained: collections::BTreeMap<u64, (u64, clock::Timestamp)>,
    swept_at: clock::Timestamp,
}

impl CrashQuarantine {
    /// Creates a quarantine without suspects; instances with different seeds end theirs at different
    /// moments.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Records that a server crashed under a request that contains these suspects.
    pub fn record_crash(
        &mut self,
        now: clock::Timestamp,
        source: crash_report::CrashSource,
        suspects: &[u64],
    ) {
        self.sweep(now);
        for suspect in suspects.iter().copied() {
            let report = crash_report::CrashReport { suspect, source };
            self.add(now, report, true);
        }
    }

    /// Records that a request with these suspects was answered, which clears them.
    pub fn record_answer(&mut self, now: clock::Timestamp, suspects: &[u64]) {
        self.sweep(now);
        for suspect in suspects {
            if self.is_suspected(*suspect) || self.quarantined.contains_key(suspect) {
                self.clear(*suspect);
                self.cleared.insert(*suspect, now);
            }
        }
        self.answer = Some(SeenAnswer {
            at: now,
            suspects: suspects.to_vec(),
        });
        let suspected: Vec<u64> = self.crashes.keys().copied().collect();
        for suspect in suspected {
            self.quarantine_if_proven(now, suspect);
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
        for suspect in &notice.cleared {
            self.clear(*suspect);
        }
        for (suspect, remaining) in &notice.quarantined {
            let is_cleared = notice.cleared.contains(suspect) || self.cleared.contains_key(suspect);
            if !is_cleared && !self.quarantined.contains_key(suspect) {
                let draw = self.release_draw(*suspect);
                let entry = quarantine_entry::QuarantineEntry::lasting(now, *remaining, draw);
                self.quarantine(now, *suspect, entry);
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
        let quarantined = self.quarantined.iter();
        crash_notice::CrashNotice {
            reports: self.strongest_reports(),
            cleared: cleared
                .into_iter()
                .map(|(suspect, _)| *suspect)
                .take(MAX_SENT)
                .collect(),
            quarantined: quarantined
                .map(|(suspect, entry)| (*suspect, entry.remaining(now)))
                .filter(|(_, remaining)| !remaining.is_zero())
                .take(MAX_SENT)
                .collect(),
        }
    }

    /// Returns the remaining time of the quarantine of any of the suspects at this instance.
    #[must_use]
    pub fn remaining(&self, now: clock::Timestamp, suspects: &[u64]) -> Option<time::Duration> {
        suspects
            .iter()
            .filter_map(|suspect| self.quarantined.get(suspect))
            .map(|entry| entry.remaining_here(now))
            .filter(|remaining| !remaining.is_zero())
            .max()
    }

    /// Returns the suspects in quarantine at this instance with the remaining times.
    #[must_use]
    pub fn quarantined(&self, now: clock::Timestamp) -> Vec<(u64, time::Duration)> {
        let quarantined = self.quarantined.iter();
        quarantined
            .map(|(suspect, entry)| (*suspect, entry.remaining_here(now)))
            .filter(|(_, remaining)| !remaining.is_zero())
            .collect()
    }

    /// Returns whether no suspect is quarantined.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty()
    }

    /// Returns the own reports, those on the suspects with the most and newest crashes first.
    fn strongest_reports(&self) -> Vec<crash_report::CrashReport> {
        let mut suspects: Vec<_> = self.crashes.iter().collect();
        suspects.sort_by_key(|(_, crashes)| cmp::Reverse(crashes.rank()));
        suspects
            .into_iter()
            .flat_map(|(suspect, crashes)| {
                let sources = crashes.own();
                sources.map(|source| crash_report::CrashReport {
                    suspect: *suspect,
                    source,
                })
            })
            .take(MAX_SENT)
            .collect()
    }

    fn add(&mut self, now: clock::Timestamp, report: crash_report::CrashReport, is_own: bool) {
        let suspect = report.suspect;
        if self.crashes.len() >= MAX_SUSPECTS && !self.crashes.contains_key(&suspect) {
            self.forget_weakest();
        }
        let crashes = self
            .crashes
            .entry(suspect)
            .or_insert_with(|| suspect_crashes::SuspectCrashes::new(report.is_whole_request()));
        if !crashes.add(now, report.source, is_own) {
            return;
        }
        if self.has_relapsed(now, suspect) {
            let draw = self.release_draw(suspect);
            let entry = quarantine_entry::QuarantineEntry::proven(now, false, draw);
            self.quarantine(now, suspect, entry);
        } else {
            self.quarantine_if_proven(now, suspect);
        }
    }

    /// Forgets the suspect with the fewest and oldest crashes.
    fn forget_weakest(&mut self) {
        let suspects = self.crashes.iter();
        let weakest = suspects
            .min_by_key(|(_, crashes)| crashes.rank())
            .map(|(suspect, _)| *suspect);
        if let Some(weakest) = weakest {
            self.crashes.remove(&weakest);
        }
    }

    /// Returns whether a new crash shows that a suspect which was quarantined crashes servers again.
    fn has_relapsed(&self, now: clock::Timestamp, suspect: u64) -> bool {
        let entry = self.quarantined.get(&suspect);
        self.relapsing.contains(&suspect) && entry.is_none_or(|entry| !entry.is_recent(now))
    }

    fn is_suspected(&self, suspect: u64) -> bool {
        self.crashes
            .get(&suspect)
            .is_some_and(suspect_crashes::SuspectCrashes::is_suspected)
    }

    fn clear(&mut self, suspect: u64) {
        if let Some(crashes) = self.crashes.get_mut(&suspect) {
            crashes.clear();
        }
        self.quarantined.remove(&suspect);
        self.relapsing.remove(&suspect);
        self.explained.retain(|_, (cause, _)| *cause != suspect);
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
        self.quarantined
            .retain(|_, entry| !entry.remaining(now).is_zero());
        let suspected: collections::BTreeSet<u64> = self
            .crashes
            .values()
            .flat_map(suspect_crashes::SuspectCrashes::servers)
            .collect();
        self.explained
            .retain(|server, _| suspected.contains(server));
    }

    fn quarantine_if_proven(&mut self, now: clock::Timestamp, suspect: u64) {
        if self.quarantined.contains_key(&suspect) || !self.is_proven(now, suspect) {
            return;
        }
        let crashes = self.crashes.get(&suspect);
        let is_whole_request =
            crashes.is_some_and(suspect_crashes::SuspectCrashes::is_whole_request);
        let draw = self.release_draw(suspect);
        let entry = quarantine_entry::QuarantineEntry::proven(now, is_whole_request, draw);
        self.quarantine(now, suspect, entry);
    }

    fn quarantine(
        &mut self,
        now: clock::Timestamp,
        suspect: u64,
        entry: quarantine_entry::QuarantineEntry,
    ) {
        self.quarantined.insert(suspect, entry);
        self.relapsing.insert(suspect);
        let servers: Vec<u64> = self
            .crashes
            .get(&suspect)
            .map(|crashes| crashes.servers().filter(|server| *server != 0).collect())
            .unwrap_or_default();
        for server in servers {
            self.explained.entry(server).or_insert((suspect, now));
        }
    }

    /// Returns whether the crashes under a suspect suffice to quarantine it. For a segment, a request
    /// without it has to be answered meanwhile: engines may also fail one after the other. A whole
    /// request that came again runs on one server at a time.
    fn is_proven(&self, now: clock::Timestamp, suspect: u64) -> bool {
        let Some(crashes) = self.crashes.get(&suspect) else {
            return false;
        };
        let limit = if self.relapsing.contains(&suspect) {
            1
        } else {
            CRASH_LIMIT
        };
        let Some(first) = crashes.first_of(limit, &self.explained_servers(now, suspect)) else {
            return false;
        };
        let is_answered = self
            .answer
            .as_ref()
            .is_some_and(|answer| answer.at >= first && !answer.suspects.contains(&suspect));
        crashes.is_whole_request() || is_answered
    }

    /// Returns the servers whose crashes another suspect explains, with that suspect.
    fn explained_servers(
        &self,
        now: clock::Timestamp,
        suspect: u64,
    ) -> collections::BTreeMap<u64, u64> {
        let explained = self.explained.iter();
        explained
            .filter(|(_, (cause, since))| {
                *cause != suspect && now.since(*since) >= EXPLANATION_DELAY
            })
            .map(|(server, (cause, _))| (*server, *cause))
            .collect()
    }

    /// Returns the share by which this instance ends the quarantine of a suspect early.
    fn release_draw(&self, suspect: u64) -> f64 {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&suspect.to_be_bytes(), self.seed);
        f64::from(u16::try_from(hash & 0xffff).unwrap_or(0)) / f64::from(u16::MAX)
    }
}
