//! Plans the split of a service's engines between prefill and decode.

use std::time;

use crate::backend_entry;

/// Time for which another split must be better before an engine changes stage.
const MIN_BENEFIT_TIME: time::Duration = time::Duration::from_millis(1_500);

/// That time while a service has engines of several software versions, whose numbers change during a
/// release.
const MIXED_BENEFIT_TIME: time::Duration = time::Duration::from_secs(3);

/// Smallest time between two changes of a service's engines; a change itself takes seconds.
const MIN_CHANGE_INTERVAL: time::Duration = time::Duration::from_secs(8);

/// Smallest ratio of the throughput of a better split to the current one.
const MIN_GAIN_RATIO: f64 = 1.05;

/// Pool size from which at least two engines run prefill, so that prefill survives the loss of one.
const LARGE_POOL_ENGINES: u32 = 6;

/// Number of engines in a service for each engine that may change stage at the same time.
const ENGINES_PER_CHANGE: u32 = 10;

/// Ratio of prefill capacity to prefill load that keeps the wait of prompts short.
const PREFILL_HEADROOM: f64 = 1.2;

/// Engine time of one request in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCost {
    /// Time at a prefill engine.
    pub prefill_millis: f64,
    /// Time at a decode engine, divided among the requests that share its memory.
    pub decode_millis: f64,
}

/// Number of engines of one software version of a service by stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolSplit {
    /// Prefill engines.
    pub prefill: u32,
    /// Decode engines.
    pub decode: u32,
}

impl PoolSplit {
    /// Returns the throughput in requests per second.
    #[must_use]
    pub fn throughput(self, cost: &EngineCost) -> f64 {
        let prefill = f64::from(self.prefill) / (cost.prefill_millis * PREFILL_HEADROOM);
        let decode = f64::from(self.decode) / cost.decode_millis;
        prefill.min(decode) * 1_000.0
    }

    /// Returns whether a stage has no engine.
    const fn lacks_stage(self) -> bool {
        self.prefill == 0 || self.decode == 0
    }

    /// Returns the number of engines of both stages.
    const fn total(self) -> u32 {
        self.prefill + self.decode
    }
}

/// Planned change of engines to a stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StageChange {
    /// New stage.
    pub stage: backend_entry::EngineStage,
    /// Number of engines.
    pub engines: u32,
}

/// Decides when engines change stage.
#[derive(Clone, Copy, Debug, Default)]
pub struct StagePlanner {
    candidate: Option<(backend_entry::EngineStage, clock::Timestamp)>,
    changed_at: Option<clock::Timestamp>,
}

impl StagePlanner {
    /// Returns the change of stage to make now, once another split has been better for long enough.
    ///
    /// `is_mixed` tells whether the service also has engines of other software versions.
    pub fn plan(
        &mut self,
        now: clock::Timestamp,
        split: PoolSplit,
        cost: &EngineCost,
        is_mixed: bool,
    ) -> Option<StageChange> {
        let better = better_split(split, cost);
        let since = match (better, self.candidate) {
            (Some(change), Some((candidate, since))) if candidate == change.stage => since,
            _ => now,
        };
        self.candidate = better.map(|change| (change.stage, since));
        let interval_passed = self
            .changed_at
            .is_none_or(|at| now.since(at) >= MIN_CHANGE_INTERVAL);
        let benefit_time = match (is_mixed, split.lacks_stage()) {
            (true, _) => MIXED_BENEFIT_TIME,
            (false, true) => time::Duration::ZERO,
            (false, false) => MIN_BENEFIT_TIME,
        };
        let is_stable = now.since(since) >= benefit_time;
        better.filter(|_| interval_passed && is_stable)
    }

    /// Records the time at which engines were ordered to change stage.
    pub const fn record_change(&mut self, now: clock::Timestamp) {
        self.changed_at = Some(now);
    }
}

/// Returns the change towards the split with the highest throughput, if that exceeds the current
/// one by [`MIN_GAIN_RATIO`].
fn better_split(split: PoolSplit, cost: &EngineCost) -> Option<StageChange> {
    let total = split.total();
    let min_prefill = if total >= LARGE_POOL_ENGINES { 2 } else { 1 };
    // Of equal splits, `max_by` returns the last one, which has the fewest prefill engines.
    let best = (min_prefill..total)
        .rev()
        .map(|prefill| PoolSplit {
            prefill,
            decode: total - prefill,
        })
        .max_by(|left, right| left.throughput(cost).total_cmp(&right.throughput(cost)))?;
    if best.throughput(cost) < split.throughput(cost) * MIN_GAIN_RATIO {
        return None;
    }
    let stage = if best.prefill > split.prefill {
        backend_entry::EngineStage::Prefill
    } else {
        backend_entry::EngineStage::Decode
    };
    let moved = best.prefill.abs_diff(split.prefill);
    let engines = if split.lacks_stage() {
        moved
    } else {
        moved.min((total / ENGINES_PER_CHANGE).max(1))
    };
    Some(StageChange { stage, engines })
}
