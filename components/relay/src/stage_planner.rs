//! Shares the engines of a service out between reading prompts and generating.

use std::time;

use crate::backend_entry;

/// Time for which another share must look better before an engine is changed.
const LASTING: time::Duration = time::Duration::from_millis(1_500);

/// Time between two changes of a service's engines, beyond the time that a change takes.
const REST: time::Duration = time::Duration::from_secs(8);

/// Ratio of requests served by which another share must be better.
const GAIN: f64 = 1.12;

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
pub struct EngineShare {
    /// Engines that read prompts.
    pub prefill: u32,
    /// Engines that generate.
    pub decode: u32,
}

impl EngineShare {
    /// Returns the requests that the engines serve in a second.
    #[must_use]
    pub fn throughput(self, cost: &EngineCost) -> f64 {
        let prefill = f64::from(self.prefill) / (cost.prefill_millis * PREFILL_ROOM);
        let decode = f64::from(self.decode) / cost.decode_millis;
        prefill.min(decode) * 1_000.0
    }

    /// Returns the share with one engine changed to a stage.
    #[must_use]
    pub const fn with_one_more(self, stage: backend_entry::EngineStage) -> Self {
        match stage {
            backend_entry::EngineStage::Prefill => Self {
                prefill: self.prefill + 1,
                decode: self.decode.saturating_sub(1),
            },
            backend_entry::EngineStage::Decode => Self {
                prefill: self.prefill.saturating_sub(1),
                decode: self.decode + 1,
            },
        }
    }
}

/// Decides when one more engine goes over to another stage.
#[derive(Clone, Copy, Debug, Default)]
pub struct StagePlanner {
    wanted: Option<(backend_entry::EngineStage, clock::Moment)>,
    changed_at: Option<clock::Moment>,
}

impl StagePlanner {
    /// Returns the stage that one more engine should take, once that has looked better for long
    /// enough.
    pub fn plan(
        &mut self,
        now: clock::Moment,
        share: EngineShare,
        cost: &EngineCost,
    ) -> Option<backend_entry::EngineStage> {
        let better = better_stage(share, cost);
        let since = match (better, self.wanted) {
            (Some(stage), Some((wanted, since))) if wanted == stage => since,
            _ => now,
        };
        self.wanted = better.map(|stage| (stage, since));
        let rested = self.changed_at.is_none_or(|at| now.since(at) >= REST);
        better.filter(|_| rested && now.since(since) >= LASTING)
    }

    /// Notes that an engine was told to change.
    pub const fn note_change(&mut self, now: clock::Moment) {
        self.changed_at = Some(now);
    }
}

fn better_stage(share: EngineShare, cost: &EngineCost) -> Option<backend_entry::EngineStage> {
    let present = share.throughput(cost);
    [
        (backend_entry::EngineStage::Decode, share.prefill),
        (backend_entry::EngineStage::Prefill, share.decode),
    ]
    .into_iter()
    // The last engine of a stage stays.
    .filter(|(_, given)| *given > 1)
    .map(|(stage, _)| (stage, share.with_one_more(stage).throughput(cost)))
    .filter(|(_, served)| *served >= present * GAIN)
    .max_by(|(_, left), (_, right)| left.total_cmp(right))
    .map(|(stage, _)| stage)
}
