//! What the policies share that choose from load reports.

use std::time;

use crate::{cell_book, engine_state, keys, pending_ask, policy_choice, refusal_reason};

/// Time between two reads of an engine's load report.
pub const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Returns the engines that may read prompts.
pub fn prefill_engines(cell_state: &cell_book::CellBook) -> Vec<keys::EngineKey> {
    cell_state
        .engines()
        .filter(|(_, engine)| engine.may_prefill())
        .map(|(key, _)| key)
        .collect()
}

/// Returns the engines, but for `failed`, that may generate an answer of `kv_pieces`.
pub fn decode_engines(
    cell_state: &cell_book::CellBook,
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

/// Returns the reported prompt tokens that wait at an engine.
pub fn queued_tokens(cell_state: &cell_book::CellBook, key: keys::EngineKey) -> u64 {
    reported(cell_state, key, |report| report.queued_prompt_tokens)
}

/// Returns the reported requests that an engine decodes.
pub fn decoding(cell_state: &cell_book::CellBook, key: keys::EngineKey) -> u64 {
    reported(cell_state, key, |report| u64::from(report.decoding))
}

/// Returns the choice of a pair of engines at once.
pub fn start_now(
    now: clock::Timestamp,
    cell_state: &cell_book::CellBook,
    ask: &pending_ask::PendingAsk,
    prefill: Option<keys::EngineKey>,
    decode: Option<keys::EngineKey>,
) -> policy_choice::PolicyChoice {
    let (Some(prefill), Some(decode)) = (prefill, decode) else {
        return policy_choice::PolicyChoice::Refuse(refusal_reason::RefusalReason::NoEngine);
    };
    let span = cell_state
        .engine(prefill)
        .map(|engine| engine.prefill_span(ask.ask.prompt_tokens))
        .unwrap_or_default();
    policy_choice::PolicyChoice::Start(policy_choice::PlacementPlan {
        prefill,
        decode,
        start_at: now,
        prefill_span: span,
        transfer_end: now + span,
    })
}

fn reported(
    cell_state: &cell_book::CellBook,
    key: keys::EngineKey,
    figure: impl Fn(&border::LoadReport) -> u64,
) -> u64 {
    cell_state
        .engine(key)
        .and_then(|engine: &engine_state::EngineState| engine.load.as_ref())
        .map_or(0, |(_, report)| figure(report))
}
