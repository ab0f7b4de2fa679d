//! Shares the engines of a service out between reading prompts and generating.

use std::time;

use crate::backend_entry;

/// Time for which another share must look better before an engine is changed.
const LASTING: time::Duration = time::Duration::from_millis(1_500);

/// Time between two changes of a service's engines; a change itself takes seconds.
const REST: time::Duration = time::Duration::from_secs(8);

/// Ratio of requests served by which another share must be better.
const GAIN: f64 = 1.08;

/// Engines from which on two read prompts, so that the loss of one leaves another.
const LARGER_POOL: u32 = 6;

/// Engines of a service of which one may change at a time.
const ENGINES_FOR_ONE: u32 = 10;

/// Room that prefill engines need beyond what they read, so that prompts don't wait long.
const PREFILL_ROOM: f64 = 1.2;

/// Engine time that one request takes, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCost {
    /// At a prefill engine.
    pub prefill_millis: f64,
    /// At a decode engine, where requests share its memory.
    pub decode_millis: f64,
}

/// Engines of one service by stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolSplit {
    /// Engines that read prompts.
    pub prefill: u32,
    /// Engines that generate.
    pub decode: u32,
}

impl PoolSplit {
    /// Returns the requests that the engines serve in a second.
    #[must_use]
    pub fn throughput(self, cost: &EngineCost) -> f64 {
        let prefill = f64::from(self.prefill) / (cost.prefill_millis * PREFILL_ROOM);
        let decode = f64::from(self.decode) / cost.decode_millis;
        prefill.min(decode) * 1_000.0
    }

    /// Returns whether a stage has no engine at all.
    const fn lacks_stage(self) -> bool {
        self.prefill == 0 || self.decode == 0
    }

    /// Returns the engines of both stages.
    const fn total(self) -> u32 {
        self.prefill + self.decode
    }
}

/// Engines that are to go over to a stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StageChange {
    /// The stage.
    pub stage: backend_entry::EngineStage,
    /// How many.
    pub engines: u32,
}

/// Decides when engines go over to another stage.
#[derive(Clone, Copy, Debug, Default)]
pub struct StagePlanner {
    wanted: Option<(backend_entry::EngineStage, clock::Timestamp)>,
    changed_at: Option<clock::Timestamp>,
}

impl StagePlanner {
    /// Returns the engines that should go over to another stage, once that has looked better for
    /// long enough.
    pub fn plan(
        &mut self,
        now: clock::Timestamp,
        share: PoolSplit,
        cost: &EngineCost,
    ) -> Option<StageChange> {
        let better = better_share(share, cost);
        let since = match (better, self.wanted) {
            (Some(change), Some((wanted, since))) if wanted == change.stage => since,
            _ => now,
        };
        self.wanted = better.map(|change| (change.stage, since));
        let rested = self.changed_at.is_none_or(|at| now.since(at) >= REST);
        let lasts = share.lacks_stage() || now.since(since) >= LASTING;
        better.filter(|_| rested && lasts)
    }

    /// Notes that engines were told to change.
    pub const fn note_change(&mut self, now: clock::Timestamp) {
        self.changed_at = Some(now);
    }
}

/// Returns the change towards the share that serves most, when that one serves clearly more.
fn better_share(share: PoolSplit, cost: &EngineCost) -> Option<StageChange> {
    let total = share.total();
    let least = if total >= LARGER_POOL { 2 } else { 1 };
    let best = (least..total)
        .rev()
        .map(|prefill| PoolSplit {
            prefill,
            decode: total - prefill,
        })
        .max_by(|left, right| left.throughput(cost).total_cmp(&right.throughput(cost)))?;
    if best.throughput(cost) < share.throughput(cost) * GAIN {
        return None;
    }
    let stage = if best.prefill > share.prefill {
        backend_entry::EngineStage::Prefill
    } else {
        backend_entry::EngineStage::Decode
    };
    let wanted = best.prefill.abs_diff(share.prefill);
    let engines = if share.lacks_stage() {
        wanted
    } else {
        wanted.min((total / ENGINES_FOR_ONE).max(1))
    };
    Some(StageChange { stage, engines })
}
