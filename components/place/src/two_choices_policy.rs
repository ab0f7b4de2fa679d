//! Selects the engine with the lower reported load of two random engines.

use std::time;

use rand::{SeedableRng as _, seq::IndexedRandom as _};

use crate::{
    cell_state, keys, pending_request, placement_policy, policy_decision, report_selection,
};

/// Selects the engine with the lower reported load of two random engines; the load reports lag
/// behind.
#[derive(Clone, Debug)]
pub struct TwoChoicesPolicy {
    random: rand_chacha::ChaCha8Rng,
}

impl TwoChoicesPolicy {
    /// Creates the policy with a seed for its random selection.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn select(
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
    fn decide(
        &mut self,
        now: clock::Timestamp,
        cell_state: &cell_state::CellState,
        pending: &pending_request::PendingRequest,
    ) -> policy_decision::PolicyDecision {
        let prefill = self.select(&report_selection::prefill_engines(cell_state), |key| {
            report_selection::queued_tokens(cell_state, key)
        });
        let engines = report_selection::decode_engines(cell_state, pending.kv_pieces, None);
        let decode = self.select(&engines, |key| report_selection::decoding(cell_state, key));
        report_selection::start_now(now, cell_state, pending, prefill, decode)
    }

    fn retarget(
        &mut self,
        cell_state: &cell_state::CellState,
        kv_pieces: u32,
        failed: keys::EngineKey,
        _retained_for: time::Duration,
    ) -> Option<keys::EngineKey> {
        let engines = report_selection::decode_engines(cell_state, kv_pieces, Some(failed));
        self.select(&engines, |key| report_selection::decoding(cell_state, key))
    }

    fn report_interval(&self) -> Option<time::Duration> {
        Some(report_selection::REPORT_INTERVAL)
    }
}
