//! What callers were told by an instance that stops.

use std::{sync::atomic, time};

use crate::relay_answer;

/// What became of a request because its instance stops.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DrainOutcome {
    /// It came too late to end in time, and was refused as not run.
    Refused,
    /// It was open at the end, and was answered.
    Ended(relay_answer::LocalAnswer),
    /// Its stream was open at the end, and broke off after a whole event.
    BrokenOff,
}

/// Counts what callers are told because their instance stops.
#[derive(Debug, Default)]
pub(crate) struct DrainTally {
    refused: atomic::AtomicU64,
    not_run: atomic::AtomicU64,
    unknown: atomic::AtomicU64,
    broken_off: atomic::AtomicU64,
    /// Latest arrival, since the signal, of a request that was open at the end, in milliseconds.
    latest_millis: atomic::AtomicU64,
}

/// What callers were told because their instance stops.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DrainSummary {
    /// Requests that came too late to end in time, and were refused as not run.
    pub refused: u64,
    /// Requests that were open at the end and had not run.
    pub not_run: u64,
    /// Requests that were open at the end and may have run.
    pub unknown: u64,
    /// Streams that were open at the end.
    pub broken_off: u64,
    /// Latest arrival of a request that was open at the end, in milliseconds since the signal; 0 if it
    /// came before.
    pub latest_ms: u64,
}

impl DrainTally {
    /// Counts a request that arrived `late` after the signal.
    pub(crate) fn count(&self, outcome: DrainOutcome, late: time::Duration) {
        let counter = match outcome {
            DrainOutcome::Refused => &self.refused,
            DrainOutcome::Ended(relay_answer::LocalAnswer::NotRun) => &self.not_run,
            DrainOutcome::Ended(_) => &self.unknown,
            DrainOutcome::BrokenOff => &self.broken_off,
        };
        counter.fetch_add(1, atomic::Ordering::Relaxed);
        if outcome != DrainOutcome::Refused {
            let late = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
            self.latest_millis
                .fetch_max(late, atomic::Ordering::Relaxed);
        }
    }

    /// Returns the counts.
    pub(crate) fn summary(&self) -> DrainSummary {
        DrainSummary {
            refused: self.refused.load(atomic::Ordering::Relaxed),
            not_run: self.not_run.load(atomic::Ordering::Relaxed),
            unknown: self.unknown.load(atomic::Ordering::Relaxed),
            broken_off: self.broken_off.load(atomic::Ordering::Relaxed),
            latest_ms: self.latest_millis.load(atomic::Ordering::Relaxed),
        }
    }
}
