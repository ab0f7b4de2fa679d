//! Functions shared by the policies that do not use the owner's exact counts.

use std::time;

use crate::{cell_state, engine_state, keys, pending_request, policy_decision, refusal_reason};

/// Interval between reads of an engine's load report.
pub const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Returns the engines that accept new prefills.
pub fn prefill_engines(cell_state: &cell_state::CellState) -> Vec<keys::EngineKey> {
    cell_state
        .engines()
        .filter(|(_, engine)| engine.may_prefill())
        .map(|(key, _)| key)
        .collect()
}

/// Returns the engines except `failed` that accept new streams and have `kv_pieces` in total.
pub fn decode_engines(
    cell_state: &cell_state::CellState,
    kv_pieces: u32,
    failed: Option<keys::EngineKey>,
) -> Vec<keys::EngineKey> {
    cell_state
        .engines()
        .filter(|(key, engine)| engine.may_decode() && Some(*key) != failed)
        .filter(|(_, engine)| engine.entry.kv_pieces >= kv_pieces)
        .map(|(key, _)| key)
        .collect()
}

/// Returns the number of prompt tokens queued at an engine in its last load report.
pub fn queued_tokens(cell_state: &cell_state::CellState, key: keys::EngineKey) -> u64 {
    reported(cell_state, key, |report| report.queued_prompt_tokens)
}

/// Returns the number of requests decoding at an engine in its last load report.
pub fn decoding(cell_state: &cell_state::CellState, key: keys::EngineKey) -> u64 {
    reported(cell_state, key, |report| u64::from(report.decoding))
}

/// Returns the decision to start at once on the given engines, or to refuse if one is missing.
///
/// The plan contains no transfer time, since these policies do not schedule the links.
pub fn start_now(
    now: clock::Timestamp,
    cell_state: &cell_state::CellState,
    pending: &pending_request::PendingRequest,
    prefill: Option<keys::EngineKey>,
    decode: Option<keys::EngineKey>,
) -> policy_decision::PolicyDecision {
    let (Some(prefill), Some(decode)) = (prefill, decode) else {
        return policy_decision::PolicyDecision::Refuse(refusal_reason::RefusalReason::NoEngine);
    };
    let duration = cell_state
        .engine(prefill)
        .map(|engine| engine.prefill_duration(pending.request.prompt_tokens))
        .unwrap_or_default();
    policy_decision::PolicyDecision::Start(policy_decision::PlacementPlan {
        prefill,
        decode,
        start_at: now,
        prefill_duration: duration,
        transfer_end: now + duration,
    })
}

fn reported(
    cell_state: &cell_state::CellState,
    key: keys::EngineKey,
    value: impl Fn(&border::LoadReport) -> u64,
) -> u64 {
    cell_state
        .engine(key)
        .and_then(|engine: &engine_state::EngineState| engine.load.as_ref())
        .map_or(0, |(_, report)| value(report))
}
