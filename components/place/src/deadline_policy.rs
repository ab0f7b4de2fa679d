//! The default policy: exact lease counts, with prefill scheduled by deadline.

use std::time;

use crate::{
    cell_state, engine_state, keys, pending_request, placement_policy, policy_decision,
    prefix_hints, refusal_reason, request_queue,
};

/// Time reserved before the deadline for message latency and estimation errors.
const DEADLINE_MARGIN: time::Duration = time::Duration::from_millis(30);

/// Time before a prefill engine becomes free at which its next prompt is granted.
const GRANT_LEAD_TIME: time::Duration = time::Duration::from_millis(15);

/// Fraction of the retention window for which a planned import may wait for its slot.
const RETENTION_SHARE: f64 = 0.6;

/// Standard deviations subtracted from the expected number of completed streams before a slot
/// that is still held is granted.
const COMPLETION_SIGMAS: f64 = 1.0;

/// Divisor of an engine's slots that gives how many may be granted before they are free.
const PREGRANT_DIVISOR: u32 = 4;

/// Shortest retry delay returned to a refused caller.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(250);

/// Longest retry delay returned to a refused caller.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(5);

/// Counts leases exactly and schedules prefill to end when the decode slot and the link are free.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeadlinePolicy;

/// Prefill engine and times selected for a plan.
#[derive(Clone, Copy, Debug)]
struct PrefillSelection {
    key: keys::EngineKey,
    start_at: clock::Timestamp,
    duration: time::Duration,
}

impl PrefillSelection {
    fn end(&self) -> clock::Timestamp {
        self.start_at + self.duration
    }
}

/// Decode engine and end of the transfer selected for a plan.
#[derive(Clone, Copy, Debug)]
struct DecodeSelection {
    key: keys::EngineKey,
    transfer_end: clock::Timestamp,
}

impl placement_policy::PlacementPolicy for DeadlinePolicy {
    fn admit(
        &mut self,
        now: clock::Timestamp,
        cell_state: &cell_state::CellState,
        ahead: request_queue::QueueBacklog,
        pending: &pending_request::PendingRequest,
    ) -> policy_decision::AdmissionDecision {
        if let Some(reason) = permanent_refusal(cell_state, pending) {
            return refuse(reason, MAX_RETRY_DELAY);
        }
        let prefill_end =
            now + estimated_prefill_wait(now, cell_state, ahead.prefill) + pending.prefill_duration;
        let slot_at = now + estimated_slot_wait(cell_state, ahead.requests, pending);
        let first_token = prefill_end.max(slot_at)
            + shortest_transfer(cell_state, pending)
            + token_time(cell_state);
        if first_token + DEADLINE_MARGIN <= pending.deadline {
            return policy_decision::AdmissionDecision::Admit;
        }
        let late = (first_token + DEADLINE_MARGIN).since(pending.deadline);
        refuse(refusal_reason::RefusalReason::FirstTokenLate, late)
    }

    fn decide(
        &mut self,
        now: clock::Timestamp,
        cell_state: &cell_state::CellState,
        pending: &pending_request::PendingRequest,
    ) -> policy_decision::PolicyDecision {
        if let Some(reason) = permanent_refusal(cell_state, pending) {
            return policy_decision::PolicyDecision::Refuse(reason);
        }
        let Some(prefill) = select_prefill(now, cell_state, pending) else {
            return policy_decision::PolicyDecision::Refuse(
                refusal_reason::RefusalReason::NoEngine,
            );
        };
        let earliest =
            prefill.end() + shortest_transfer(cell_state, pending) + token_time(cell_state);
        if earliest + DEADLINE_MARGIN > pending.deadline {
            let reason = refusal_reason::RefusalReason::FirstTokenLate;
            return policy_decision::PolicyDecision::Refuse(reason);
        }
        if prefill.start_at > now + GRANT_LEAD_TIME {
            return policy_decision::PolicyDecision::Wait(prefill.start_at.before(GRANT_LEAD_TIME));
        }
        match select_decode(now, cell_state, pending, prefill) {
            Some(decode) => {
                policy_decision::PolicyDecision::Start(policy_decision::PlacementPlan {
                    prefill: prefill.key,
                    decode: decode.key,
                    start_at: prefill.start_at,
                    prefill_duration: prefill.duration,
                    transfer_end: decode.transfer_end,
                })
            }
            None => policy_decision::PolicyDecision::Wait(first_late_start(
                cell_state, pending, prefill,
            )),
        }
    }

    fn retarget(
        &mut self,
        cell_state: &cell_state::CellState,
        kv_pieces: u32,
        failed: keys::EngineKey,
        _retained_for: time::Duration,
    ) -> Option<keys::EngineKey> {
        cell_state
            .engines()
            .filter(|(key, engine)| *key != failed && engine.may_decode())
            .filter(|(_, engine)| engine.held_slots() < engine.entry.decode_slots)
            .filter(|(_, engine)| engine.free_pieces() >= kv_pieces)
            .min_by_key(|(key, engine)| (engine.held_slots(), *key))
            .map(|(key, _)| key)
    }

    fn report_interval(&self) -> Option<time::Duration> {
        None
    }
}

/// Returns the reason if the cell's usable engines cannot serve the request at any load.
fn permanent_refusal(
    cell_state: &cell_state::CellState,
    pending: &pending_request::PendingRequest,
) -> Option<refusal_reason::RefusalReason> {
    let mut decode_engines = cell_state
        .engines()
        .filter(|(_, engine)| engine.may_decode())
        .peekable();
    let has_prefill = cell_state.engines().any(|(_, engine)| engine.may_prefill());
    if decode_engines.peek().is_none() || !has_prefill {
        return Some(refusal_reason::RefusalReason::NoEngine);
    }
    let fits = decode_engines.any(|(_, engine)| engine.entry.kv_pieces >= pending.kv_pieces);
    (!fits).then_some(refusal_reason::RefusalReason::TooLarge)
}

fn refuse(
    reason: refusal_reason::RefusalReason,
    wait: time::Duration,
) -> policy_decision::AdmissionDecision {
    policy_decision::AdmissionDecision::Refuse {
        reason,
        retry_after: wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
    }
}

/// Returns the estimated time until the planned prefills and the queued ones `ahead` are done.
fn estimated_prefill_wait(
    now: clock::Timestamp,
    cell_state: &cell_state::CellState,
    ahead: time::Duration,
) -> time::Duration {
    let mut engines = 0;
    let mut planned = ahead;
    let mut first_free = clock::Timestamp::MAX;
    for (_, engine) in cell_state
        .engines()
        .filter(|(_, engine)| engine.may_prefill())
    {
        let free_at = engine.prefill_free_at(now);
        engines += 1;
        planned += free_at.since(now);
        first_free = first_free.min(free_at);
    }
    let mean = planned / engines.max(1);
    mean.max(first_free.since(now))
}

/// Returns the estimated time until a decode slot is free for a request that has `ahead`
/// requests before it in the queue.
fn estimated_slot_wait(
    cell_state: &cell_state::CellState,
    ahead: u32,
    pending: &pending_request::PendingRequest,
) -> time::Duration {
    let mut free = 0_i64;
    let mut rate = 0.0;
    for (_, engine) in cell_state
        .engines()
        .filter(|(_, engine)| engine.may_decode())
    {
        let slots = i64::from(engine.slot_limit(pending.pace_ms)) - i64::from(engine.held_slots());
        let pieces = i64::from(engine.free_pieces() / pending.kv_pieces.max(1));
        free += slots.min(pieces);
        rate += engine.completion_rate.0;
    }
    let needed = i64::from(ahead) + 1 - free;
    let Ok(needed) = u32::try_from(needed) else {
        return time::Duration::ZERO;
    };
    if needed == 0 {
        return time::Duration::ZERO;
    }
    let seconds = f64::from(needed) / rate.max(1e-3);
    time::Duration::from_secs_f64(seconds.min(3_600.0))
}

/// Returns the prefill engine with the earliest end of the request's prefill.
fn select_prefill(
    now: clock::Timestamp,
    cell_state: &cell_state::CellState,
    pending: &pending_request::PendingRequest,
) -> Option<PrefillSelection> {
    let cached = cell_state
        .hints
        .expected_tokens(now, &pending.request.prefix_blocks);
    cell_state
        .engines()
        .filter(|(_, engine)| engine.may_prefill())
        .map(|(key, engine)| {
            let hit = cached.iter().find(|(engine, _)| *engine == key);
            let tokens =
                prefix_hints::uncached(pending.request.prompt_tokens, hit.map_or(0, |hit| hit.1));
            PrefillSelection {
                key,
                start_at: engine.prefill_free_at(now),
                duration: engine.prefill_duration(tokens),
            }
        })
        .min_by_key(|selection| (selection.end(), selection.key))
}

/// Returns the best decode engine that has, or is expected to have in time, a free slot, memory
/// and link.
fn select_decode(
    now: clock::Timestamp,
    cell_state: &cell_state::CellState,
    pending: &pending_request::PendingRequest,
    prefill: PrefillSelection,
) -> Option<DecodeSelection> {
    let source = cell_state.engine(prefill.key)?;
    let link_free = source.link_until.max(prefill.end());
    cell_state
        .engines()
        .filter(|(_, engine)| engine.may_decode())
        .filter_map(|(key, engine)| {
            let transfer_start = link_free.max(engine.link_until);
            let transfer_end = transfer_start + transfer_time(source, engine, pending);
            let first_token = transfer_end + engine.token_time() + DEADLINE_MARGIN;
            if first_token > pending.deadline {
                return None;
            }
            let slack = pending.deadline.since(first_token);
            let retention = time::Duration::from_millis(u64::from(source.entry.retention_ms));
            // The engine makes a transfer wait for a free slot, not for the lower slot limit that a
            // pace target sets.
            let may_wait = engine.slot_limit(pending.pace_ms) == engine.entry.decode_slots;
            let slot_wait = if may_wait {
                slack.min(retention.mul_f64(RETENTION_SHARE))
            } else {
                time::Duration::ZERO
            };
            let missing = missing_completions(cell_state, engine, pending);
            let slot_deadline = prefill.end() + slot_wait;
            if missing > 0 && !completes_in_time(now, cell_state, engine, missing, slot_deadline) {
                return None;
            }
            let load = engine.held_slots() * 1_000 / engine.entry.decode_slots.max(1);
            let selection = DecodeSelection { key, transfer_end };
            Some(((missing.max(0), load, transfer_end), selection))
        })
        .min_by_key(|(cost, selection)| (*cost, selection.key))
        .map(|(_, selection)| selection)
}

/// Returns how many streams must complete before the engine has a slot and memory for the request.
fn missing_completions(
    cell_state: &cell_state::CellState,
    engine: &engine_state::EngineState,
    pending: &pending_request::PendingRequest,
) -> i64 {
    let limit = i64::from(engine.slot_limit(pending.pace_ms));
    let for_slots = i64::from(engine.held_slots()) + 1 - limit;
    let missing_pieces =
        i64::from(engine.held_pieces() + pending.kv_pieces) - i64::from(engine.entry.kv_pieces);
    let pieces_per_slot = i64::from(engine.held_pieces()) / i64::from(engine.held_slots().max(1));
    let for_pieces = missing_pieces.max(0) / pieces_per_slot.max(1) + i64::from(missing_pieces > 0);
    // Leases may be missing during recovery, so one slot is kept in reserve.
    let reserve = if cell_state.recovering { 1 } else { 0 };
    for_slots.max(for_pieces) + reserve
}

/// Returns whether `missing` streams are expected to complete by `deadline`, with the margin of
/// `COMPLETION_SIGMAS`.
fn completes_in_time(
    now: clock::Timestamp,
    cell_state: &cell_state::CellState,
    engine: &engine_state::EngineState,
    missing: i64,
    deadline: clock::Timestamp,
) -> bool {
    let pregrant_limit = i64::from(engine.entry.decode_slots / PREGRANT_DIVISOR);
    if cell_state.recovering || missing > pregrant_limit {
        return false;
    }
    let expected = engine.completion_rate.0 * deadline.since(now).as_secs_f64();
    let lower_bound = expected - COMPLETION_SIGMAS * expected.sqrt();
    i32::try_from(missing).is_ok_and(|missing| lower_bound >= f64::from(missing))
}

/// Returns the time 1 µs after the latest prefill start that meets the deadline.
///
/// A decision at this time refuses the request.
fn first_late_start(
    cell_state: &cell_state::CellState,
    pending: &pending_request::PendingRequest,
    prefill: PrefillSelection,
) -> clock::Timestamp {
    let after = prefill.duration
        + shortest_transfer(cell_state, pending)
        + token_time(cell_state)
        + DEADLINE_MARGIN;
    pending.deadline.before(after) + time::Duration::from_micros(1)
}

fn transfer_time(
    source: &engine_state::EngineState,
    target: &engine_state::EngineState,
    pending: &pending_request::PendingRequest,
) -> time::Duration {
    let rates = [source, target].map(|engine| engine.entry.link_tokens_per_second);
    let rate = rates[0].min(rates[1]).max(1);
    time::Duration::from_secs_f64(f64::from(pending.request.prompt_tokens) / f64::from(rate))
}

fn shortest_transfer(
    cell_state: &cell_state::CellState,
    pending: &pending_request::PendingRequest,
) -> time::Duration {
    let rates = cell_state
        .engines()
        .map(|(_, engine)| engine.entry.link_tokens_per_second);
    let rate = rates.max().unwrap_or(1).max(1);
    time::Duration::from_secs_f64(f64::from(pending.request.prompt_tokens) / f64::from(rate))
}

fn token_time(cell_state: &cell_state::CellState) -> time::Duration {
    let times = cell_state
        .engines()
        .filter(|(_, engine)| engine.may_decode())
        .map(|(_, engine)| engine.token_time());
    times.min().unwrap_or_default()
}
