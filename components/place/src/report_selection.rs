//! What the policies share that choose from load reports.

use std::time;

use crate::{cell_state, engine_book, keys, pending_request, policy_decision, refusal_reason};

/// Time between two reads of an engine's load report.
pub const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Returns the engines that may read prompts.
pub fn prefill_engines(book: &cell_state::CellState) -> Vec<keys::EngineKey> {
    book.engines()
        .filter(|(_, engine)| engine.may_prefill())
        .map(|(key, _)| key)
        .collect()
}

/// Returns the engines, but for `failed`, that may generate an answer of `kv_pieces`.
pub fn decode_engines(
    book: &cell_state::CellState,
    kv_pieces: u32,
    failed: Option<keys::EngineKey>,
) -> Vec<keys::EngineKey> {
    book.engines()
        .filter(|(key, engine)| engine.may_decode() && Some(*key) != failed)
        .filter(|(_, engine)| engine.entry.kv_pieces >= kv_pieces)
        .map(|(key, _)| key)
        .collect()
}

/// Returns the reported prompt tokens that wait at an engine.
pub fn queued_tokens(book: &cell_state::CellState, key: keys::EngineKey) -> u64 {
    reported(book, key, |report| report.queued_prompt_tokens)
}

/// Returns the reported requests that an engine decodes.
pub fn decoding(book: &cell_state::CellState, key: keys::EngineKey) -> u64 {
    reported(book, key, |report| u64::from(report.decoding))
}

/// Returns the choice of a pair of engines at once.
pub fn start_now(
    now: clock::Moment,
    book: &cell_state::CellState,
    pending: &pending_request::PendingRequest,
    prefill: Option<keys::EngineKey>,
    decode: Option<keys::EngineKey>,
) -> policy_decision::PolicyDecision {
    let (Some(prefill), Some(decode)) = (prefill, decode) else {
        return policy_decision::PolicyDecision::Refuse(refusal_reason::RefusalReason::NoEngine);
    };
    let span = book
        .engine(prefill)
        .map(|engine| engine.prefill_duration(pending.request.prompt_tokens))
        .unwrap_or_default();
    policy_decision::PolicyDecision::Start(policy_decision::PlacementPlan {
        prefill,
        decode,
        start_at: now,
        prefill_duration: span,
        transfer_end: now + span,
    })
}

fn reported(
    book: &cell_state::CellState,
    key: keys::EngineKey,
    figure: impl Fn(&border::LoadReport) -> u64,
) -> u64 {
    book.engine(key)
        .and_then(|engine: &engine_book::EngineBook| engine.load.as_ref())
        .map_or(0, |(_, report)| figure(report))
}
