//! The requests that a case offers.

use std::time;

use rand::{RngExt as _, SeedableRng as _};

use crate::{site_mix, study_case, study_fault};

/// Share of the callers that leave early, where that is the fault.
const CANCEL_SHARE: f64 = 0.1;

/// Time within which such a caller leaves.
const CANCEL_WITHIN: time::Duration = time::Duration::from_secs(2);

/// One request that a case offers.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// Time it arrives.
    pub at: clock::Timestamp,
    /// Length of its prompt, in tokens.
    pub prompt_tokens: u32,
    /// Length of the answer that the model gives, in tokens.
    pub output_tokens: u32,
    /// Time the caller leaves, if it does.
    pub leaves_at: Option<clock::Timestamp>,
    /// Number that picks the instance it arrives at.
    pub instance_draw: u32,
    /// Number of its workspace.
    pub workspace: u32,
}

/// Returns the requests of a case that arrive between two times.
pub fn requests(
    case: &study_case::StudyCase,
    begin: clock::Timestamp,
    end: clock::Timestamp,
) -> Vec<RequestPlan> {
    let figures = case.mix.figures();
    let rate = case.mix.capacity() * case.load;
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(case.seed);
    let mut plans = Vec::new();
    let mut at = begin;
    loop {
        let gap = -(1.0 - random.random::<f64>()).ln() / rate;
        at = at + time::Duration::from_secs_f64(gap);
        if at >= end {
            return plans;
        }
        let rest = bounded(figures.prompt_rest, &mut random);
        let shared = figures.shared_blocks * place::PREFIX_BLOCK_TOKENS;
        let output_tokens = bounded(figures.output, &mut random);
        let leaves = random.random_bool(CANCEL_SHARE);
        let patience = CANCEL_WITHIN.mul_f64(random.random::<f64>());
        let cancels = case.fault == study_fault::StudyFault::CallersCancel;
        plans.push(RequestPlan {
            at,
            prompt_tokens: shared + rest,
            output_tokens,
            leaves_at: (leaves && cancels).then(|| at + patience),
            instance_draw: random.random(),
            workspace: random.random_range(0..site_mix::WORKSPACES),
        });
    }
}

/// Draws from an exponential distribution above `least` with the given mean, cut at `most`.
fn bounded((least, mean, most): (u32, u32, u32), random: &mut rand_chacha::ChaCha8Rng) -> u32 {
    let spread = f64::from(mean - least);
    let above = -(1.0 - random.random::<f64>()).ln() * spread;
    let rounded = above.min(f64::from(most - least)).round();
    least + rounded as u32
}
