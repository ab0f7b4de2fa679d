//! Takes the less loaded of two random engines by the lagging reports.

use std::time;

use rand::{SeedableRng as _, seq::IndexedRandom as _};

use crate::{cell_book, keys, pending_ask, placement_policy, policy_choice, report_choice};

/// Takes the less loaded of two random engines by the lagging reports.
#[derive(Clone, Debug)]
pub struct TwoChoicesPolicy {
    random: rand_chacha::ChaCha8Rng,
}

impl TwoChoicesPolicy {
    /// Makes the policy with a seed for its choices.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn take(
        &mut self,
        engines: &[keys::EngineKey],
        load: impl Fn(keys::EngineKey) -> u64,
    ) -> Option<keys::EngineKey> {
        engines
            .sample(&mut self.random, 2)
            .copied()
            .min_by_key(|key| load(*key))
    }
}

impl placement_policy::PlacementPolicy for TwoChoicesPolicy {
    fn choose(
        &mut self,
        now: clock::Timestamp,
        cell_state: &cell_book::CellBook,
        ask: &pending_ask::PendingAsk,
    ) -> policy_choice::PolicyChoice {
        let prefill = self.take(&report_choice::prefill_engines(cell_state), |key| {
            report_choice::queued_tokens(cell_state, key)
        });
        let engines = report_choice::decode_engines(cell_state, ask.kv_pieces, None);
        let decode = self.take(&engines, |key| report_choice::decoding(cell_state, key));
        report_choice::start_now(now, cell_state, ask, prefill, decode)
    }

    fn retarget(
        &mut self,
        cell_state: &cell_book::CellBook,
        kv_pieces: u32,
        failed: keys::EngineKey,
        _retained_for: time::Duration,
    ) -> Option<keys::EngineKey> {
        let engines = report_choice::decode_engines(cell_state, kv_pieces, Some(failed));
        self.take(&engines, |key| report_choice::decoding(cell_state, key))
    }

    fn report_interval(&self) -> Option<time::Duration> {
        Some(report_choice::REPORT_INTERVAL)
    }
}
