//! The product policy: exact counts, prefill timed for its deadline.

use std::time;

use crate::{
    ask_queue, cell_book, engine_state, keys, pending_ask, placement_policy, policy_choice,
    prefix_hints, refusal_reason,
};

/// Part of the time to the deadline that is left for messages and estimates that miss.
const DEADLINE_MARGIN: time::Duration = time::Duration::from_millis(30);

/// Time before a prefill engine is free at which its next prompt is granted.
const GRANT_AHEAD: time::Duration = time::Duration::from_millis(15);

/// Part of the retention window that a planned import may wait for its slot.
const RETENTION_SHARE: f64 = 0.6;

/// Standard deviations by which the expected number of freed slots is lowered before a slot that
/// is still held is granted.
const FREEING_SIGMAS: f64 = 1.0;

/// Part of an engine's slots, as a divisor, that may be granted before they are free.
const AHEAD_PART: u32 = 4;

/// Shortest time after which a refused caller may ask again.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(250);

/// Longest time after which a refused caller may ask again.
const RETRY_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Counts exactly and starts prefill so that it ends when the decode slot and the link are free.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeadlinePolicy;

/// The prefill side of a plan.
#[derive(Clone, Copy, Debug)]
struct PrefillPick {
    key: keys::EngineKey,
    start_at: clock::Timestamp,
    span: time::Duration,
}

impl PrefillPick {
    fn end(&self) -> clock::Timestamp {
        self.start_at + self.span
    }
}

/// The decode side of a plan.
#[derive(Clone, Copy, Debug)]
struct DecodePick {
    key: keys::EngineKey,
    transfer_end: clock::Timestamp,
}

impl placement_policy::PlacementPolicy for DeadlinePolicy {
    fn admit(
        &mut self,
        now: clock::Timestamp,
        cell_state: &cell_book::CellBook,
        ahead: ask_queue::QueueAhead,
        ask: &pending_ask::PendingAsk,
    ) -> policy_choice::PolicyVerdict {
        if let Some(reason) = impossible(cell_state, ask) {
            return refuse(reason, RETRY_LIMIT);
        }
        let prefill_end = now + prefill_wait(now, cell_state, ahead.prefill) + ask.prefill_span;
        let slot_at = now + slot_wait(cell_state, ahead.asks, ask);
        let first_token =
            prefill_end.max(slot_at) + shortest_transfer(cell_state, ask) + token_time(cell_state);
        if first_token + DEADLINE_MARGIN <= ask.deadline {
            return policy_choice::PolicyVerdict::Admit;
        }
        let late = (first_token + DEADLINE_MARGIN).since(ask.deadline);
        refuse(refusal_reason::RefusalReason::FirstTokenLate, late)
    }

    fn choose(
        &mut self,
        now: clock::Timestamp,
        cell_state: &cell_book::CellBook,
        ask: &pending_ask::PendingAsk,
    ) -> policy_choice::PolicyChoice {
        if let Some(reason) = impossible(cell_state, ask) {
            return policy_choice::PolicyChoice::Refuse(reason);
        }
        let Some(prefill) = pick_prefill(now, cell_state, ask) else {
            return policy_choice::PolicyChoice::Refuse(refusal_reason::RefusalReason::NoEngine);
        };
        let earliest = prefill.end() + shortest_transfer(cell_state, ask) + token_time(cell_state);
        if earliest + DEADLINE_MARGIN > ask.deadline {
            let late = refusal_reason::RefusalReason::FirstTokenLate;
            return policy_choice::PolicyChoice::Refuse(late);
        }
        if prefill.start_at > now + GRANT_AHEAD {
            return policy_choice::PolicyChoice::Wait(prefill.start_at.before(GRANT_AHEAD));
        }
        match pick_decode(now, cell_state, ask, prefill) {
            Some(decode) => policy_choice::PolicyChoice::Start(policy_choice::PlacementPlan {
                prefill: prefill.key,
                decode: decode.key,
                start_at: prefill.start_at,
                prefill_span: prefill.span,
                transfer_end: decode.transfer_end,
            }),
            None => policy_choice::PolicyChoice::Wait(last_start(cell_state, ask, prefill)),
        }
    }

    fn retarget(
        &mut self,
        cell_state: &cell_book::CellBook,
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

/// Returns why no engine could ever serve the ask.
fn impossible(
    cell_state: &cell_book::CellBook,
    ask: &pending_ask::PendingAsk,
) -> Option<refusal_reason::RefusalReason> {
    let mut decode_engines = cell_state
        .engines()
        .filter(|(_, engine)| engine.may_decode())
        .peekable();
    let has_prefill = cell_state.engines().any(|(_, engine)| engine.may_prefill());
    if decode_engines.peek().is_none() || !has_prefill {
        return Some(refusal_reason::RefusalReason::NoEngine);
    }
    let fits = decode_engines.any(|(_, engine)| engine.entry.kv_pieces >= ask.kv_pieces);
    (!fits).then_some(refusal_reason::RefusalReason::TooLarge)
}

fn refuse(
    reason: refusal_reason::RefusalReason,
    wait: time::Duration,
) -> policy_choice::PolicyVerdict {
    policy_choice::PolicyVerdict::Refuse {
        reason,
        retry_after: wait.clamp(RETRY_AFTER, RETRY_LIMIT),
    }
}

/// Returns the time until the prefill work that is planned and that waits `ahead` is done.
fn prefill_wait(
    now: clock::Timestamp,
    cell_state: &cell_book::CellBook,
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

/// Returns the time until a decode slot is free behind `ahead` asks.
fn slot_wait(
    cell_state: &cell_book::CellBook,
    ahead: u32,
    ask: &pending_ask::PendingAsk,
) -> time::Duration {
    let mut free = 0_i64;
    let mut rate = 0.0;
    for (_, engine) in cell_state
        .engines()
        .filter(|(_, engine)| engine.may_decode())
    {
        let slots = i64::from(engine.slot_limit(ask.pace_ms)) - i64::from(engine.held_slots());
        let pieces = i64::from(engine.free_pieces() / ask.kv_pieces.max(1));
        free += slots.min(pieces);
        rate += engine.free_rate.0;
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

/// Returns the prefill engine that would be done first.
fn pick_prefill(
    now: clock::Timestamp,
    cell_state: &cell_book::CellBook,
    ask: &pending_ask::PendingAsk,
) -> Option<PrefillPick> {
    let cached = cell_state
        .hints
        .expected_tokens(now, &ask.ask.prefix_blocks);
    cell_state
        .engines()
        .filter(|(_, engine)| engine.may_prefill())
        .map(|(key, engine)| {
            let hit = cached.iter().find(|(engine, _)| *engine == key);
            let tokens = prefix_hints::uncached(ask.ask.prompt_tokens, hit.map_or(0, |hit| hit.1));
            PrefillPick {
                key,
                start_at: engine.prefill_free_at(now),
                span: engine.prefill_span(tokens),
            }
        })
        .min_by_key(|pick| (pick.end(), pick.key))
}

/// Returns the decode engine that has, or will have in time, a slot, memory and a free link.
fn pick_decode(
    now: clock::Timestamp,
    cell_state: &cell_book::CellBook,
    ask: &pending_ask::PendingAsk,
    prefill: PrefillPick,
) -> Option<DecodePick> {
    let source = cell_state.engine(prefill.key)?;
    let link_free = source.link_until.max(prefill.end());
    cell_state
        .engines()
        .filter(|(_, engine)| engine.may_decode())
        .filter_map(|(key, engine)| {
            let transfer_start = link_free.max(engine.link_until);
            let transfer_end = transfer_start + transfer_time(source, engine, ask);
            let first_token = transfer_end + engine.token_time() + DEADLINE_MARGIN;
            if first_token > ask.deadline {
                return None;
            }
            let slack = ask.deadline.since(first_token);
            let retention = time::Duration::from_millis(u64::from(source.entry.retention_ms));
            // The engine lets a transfer wait for its slots only, not for the pace target.
            let waits = engine.slot_limit(ask.pace_ms) == engine.entry.decode_slots;
            let patience = if waits {
                slack.min(retention.mul_f64(RETENTION_SHARE))
            } else {
                time::Duration::ZERO
            };
            let missing = missing_slots(cell_state, engine, ask);
            let by = prefill.end() + patience;
            if missing > 0 && !frees_in_time(now, cell_state, engine, missing, by) {
                return None;
            }
            let load = engine.held_slots() * 1_000 / engine.entry.decode_slots.max(1);
            let pick = DecodePick { key, transfer_end };
            Some(((missing.max(0), load, transfer_end), pick))
        })
        .min_by_key(|(cost, pick)| (*cost, pick.key))
        .map(|(_, pick)| pick)
}

/// Returns how many holders must end before the ask has a slot and memory at the engine.
fn missing_slots(
    cell_state: &cell_book::CellBook,
    engine: &engine_state::EngineState,
    ask: &pending_ask::PendingAsk,
) -> i64 {
    let limit = i64::from(engine.slot_limit(ask.pace_ms));
    let slots = i64::from(engine.held_slots()) + 1 - limit;
    let short = i64::from(engine.held_pieces() + ask.kv_pieces) - i64::from(engine.entry.kv_pieces);
    let mean = i64::from(engine.held_pieces()) / i64::from(engine.held_slots().max(1));
    let pieces = short.max(0) / mean.max(1) + i64::from(short > 0);
    let reserve = if cell_state.cautious { 1 } else { 0 };
    slots.max(pieces) + reserve
}

/// Returns whether `missing` holders are expected to end by `by`.
fn frees_in_time(
    now: clock::Timestamp,
    cell_state: &cell_book::CellBook,
    engine: &engine_state::EngineState,
    missing: i64,
    by: clock::Timestamp,
) -> bool {
    let ahead_limit = i64::from(engine.entry.decode_slots / AHEAD_PART);
    if cell_state.cautious || missing > ahead_limit {
        return false;
    }
    let expected = engine.free_rate.0 * by.since(now).as_secs_f64();
    let sure = expected - FREEING_SIGMAS * expected.sqrt();
    i32::try_from(missing).is_ok_and(|missing| sure >= f64::from(missing))
}

/// Returns the last time at which the ask can start at its prefill engine.
fn last_start(
    cell_state: &cell_book::CellBook,
    ask: &pending_ask::PendingAsk,
    prefill: PrefillPick,
) -> clock::Timestamp {
    let after = prefill.span
        + shortest_transfer(cell_state, ask)
        + token_time(cell_state)
        + DEADLINE_MARGIN;
    ask.deadline.before(after) + time::Duration::from_micros(1)
}

fn transfer_time(
    source: &engine_state::EngineState,
    target: &engine_state::EngineState,
    ask: &pending_ask::PendingAsk,
) -> time::Duration {
    let rates = [source, target].map(|engine| engine.entry.link_tokens_per_second);
    let rate = rates[0].min(rates[1]).max(1);
    time::Duration::from_secs_f64(f64::from(ask.ask.prompt_tokens) / f64::from(rate))
}

fn shortest_transfer(
    cell_state: &cell_book::CellBook,
    ask: &pending_ask::PendingAsk,
) -> time::Duration {
    let rates = cell_state
        .engines()
        .map(|(_, engine)| engine.entry.link_tokens_per_second);
    let rate = rates.max().unwrap_or(1).max(1);
    time::Duration::from_secs_f64(f64::from(ask.ask.prompt_tokens) / f64::from(rate))
}

fn token_time(cell_state: &cell_book::CellBook) -> time::Duration {
    let times = cell_state
        .engines()
        .filter(|(_, engine)| engine.may_decode())
        .map(|(_, engine)| engine.token_time());
    times.min().unwrap_or_default()
}
