//! Placing of generations on prefill and decode engines.

use std::time;

use rand::RngExt as _;

use crate::{
    backend, backend_entry, backend_health, engine_choice, refusal, service_rule, stream_ask,
    stream_lease, wait_line,
};

use super::{RETRY_FLOOR, RelayCore, StreamAverage};

/// Time that a stream holds its place until streams have shown their own, in milliseconds.
const USUAL_HELD_MILLIS: f64 = 3_000.0;

/// Weight of a new stream in the averages.
const HELD_WEIGHT: f64 = 0.05;

/// Time between the end of prefill and the first token at the caller.
const HAND_OVER: time::Duration = time::Duration::from_millis(80);

/// Time after which a caller may come back when no engine takes work.
const NO_ENGINE_RETRY: time::Duration = time::Duration::from_millis(700);

/// Shortest time after which a caller that met a full site may come back.
const OVERLOAD_RETRY: time::Duration = time::Duration::from_millis(1_500);

/// Span over which callers that met a full site are spread.
const RETRY_SPREAD: time::Duration = time::Duration::from_millis(2_000);

/// A granted place.
#[derive(Clone, Debug)]
pub struct StreamPlace {
    /// Its lease.
    pub key: stream_lease::StreamKey,
    /// Engine that reads the prompt; `None` when the decode engine reads it itself.
    pub prefill: Option<(backend::BackendKey, backend_entry::BackendEntry)>,
    /// Engine that generates.
    pub decode: (backend::BackendKey, backend_entry::BackendEntry),
    /// Expected time until the prompt is read.
    pub prefill_time: time::Duration,
    /// Share of the decode engine's memory that was used before.
    pub fill: f64,
}

/// The answer to a request for a place.
#[derive(Clone, Debug)]
pub enum PlaceAnswer {
    /// A place is reserved.
    Placed(Box<StreamPlace>),
    /// The request waits; the answer follows by [`RelayCore::grants`].
    Waiting(wait_line::WaitTicket),
    /// The request can't be served.
    Refused(refusal::Refusal),
}

/// How a stream left its place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamEnd {
    /// What became of it at the decode engine.
    pub outcome: backend_health::BackendOutcome,
    /// Time from the request to the first token at the decode engine.
    pub first_token: time::Duration,
}

impl RelayCore {
    /// Answers a request for a place at once, or lets it wait when it will be served on time.
    pub fn place(&mut self, now: clock::Moment, ask: stream_ask::StreamAsk) -> PlaceAnswer {
        let Some(size) = self.engine_size(&ask.service) else {
            return PlaceAnswer::Refused(refuse(refusal::RefusalReason::NoServer, NO_ENGINE_RETRY));
        };
        let may_pass = ask.resumes || self.line.is_empty_for(&ask.service);
        if may_pass && let Some(place) = self.try_place(now, &ask, size) {
            return PlaceAnswer::Placed(Box::new(place));
        }
        let chooser = self.chooser(now, size);
        if !chooser.has_engine(&ask.service, backend_entry::EngineStage::Decode) {
            return PlaceAnswer::Refused(refuse(refusal::RefusalReason::NoServer, NO_ENGINE_RETRY));
        }
        let wait = self.expected_wait(now, &ask, size);
        let margin = self.time_to_first_token(now, &ask);
        let due = if ask.resumes {
            ask.deadline
        } else {
            ask.first_token_due.before(margin)
        };
        if now + wait >= due {
            let retry_after = self.overload_retry(wait);
            return PlaceAnswer::Refused(refuse(refusal::RefusalReason::Overload, retry_after));
        }
        PlaceAnswer::Waiting(self.line.push(ask, due))
    }

    /// Takes a request out of the line.
    pub fn stop_waiting(&mut self, ticket: wait_line::WaitTicket) {
        self.line.remove(ticket);
    }

    /// Answers waiting requests for which a place is free or which can't be served any more.
    pub fn grants(&mut self, now: clock::Moment) -> Vec<(wait_line::WaitTicket, PlaceAnswer)> {
        let mut answers = Vec::new();
        for overdue in self.line.take_overdue(now) {
            let retry_after = self.overload_retry(time::Duration::ZERO);
            let refusal = refuse(refusal::RefusalReason::WaitedOut, retry_after);
            answers.push((overdue.ticket, PlaceAnswer::Refused(refusal)));
        }
        loop {
            let next = self.line.iter().next().cloned();
            let Some(waiting) = next else { break };
            let Some(size) = self.engine_size(&waiting.ask.service) else {
                break;
            };
            let Some(place) = self.try_place(now, &waiting.ask, size) else {
                break;
            };
            self.line.remove(waiting.ticket);
            answers.push((waiting.ticket, PlaceAnswer::Placed(Box::new(place))));
        }
        answers
    }

    /// Returns the next moment at which [`RelayCore::grants`] has something to refuse.
    #[must_use]
    pub fn next_overdue(&self) -> Option<clock::Moment> {
        self.line.next_overdue()
    }

    /// Takes in that the prefill engine is done with a prompt, or that it failed.
    pub fn prefill_ended(
        &mut self,
        now: clock::Moment,
        key: stream_lease::StreamKey,
        outcome: backend_health::BackendOutcome,
    ) -> bool {
        let Some(lease) = self.leases.get_mut(key).filter(|lease| lease.prefilling) else {
            return false;
        };
        lease.prefilling = false;
        let tokens = lease.ask.prompt_tokens;
        let tokens_read = tokens + lease.tokens_ahead;
        let took = now.since(lease.granted_at);
        let engine = lease.prefill;
        let Some(engine) = engine.and_then(|engine| self.book.get_mut(engine)) else {
            return false;
        };
        engine.own.prefill_tokens = engine.own.prefill_tokens.saturating_sub(tokens);
        engine.own.running = engine.own.running.saturating_sub(1);
        if outcome == backend_health::BackendOutcome::Succeeded {
            engine.prompt_read(tokens_read, took);
        }
        if outcome == backend_health::BackendOutcome::Refused {
            engine.was_full(now);
        }
        engine.health.ended(now, outcome, took)
    }

    /// Frees the place of a stream; returns whether the decode engine was ejected by its outcome.
    pub fn release(
        &mut self,
        now: clock::Moment,
        key: stream_lease::StreamKey,
        end: StreamEnd,
    ) -> bool {
        self.prefill_ended(now, key, backend_health::BackendOutcome::Abandoned);
        let Some(lease) = self.leases.remove(key) else {
            return false;
        };
        if end.outcome == backend_health::BackendOutcome::Succeeded {
            self.count_held(&lease.ask.service, now.since(lease.granted_at));
        }
        let Some(engine) = self.book.get_mut(lease.decode) else {
            return false;
        };
        let tokens = lease.ask.kv_tokens();
        engine.own.running = engine.own.running.saturating_sub(1);
        engine.own.kv_tokens = engine.own.kv_tokens.saturating_sub(tokens);
        if end.outcome == backend_health::BackendOutcome::Refused {
            engine.was_full(now);
        }
        let ejected = engine.health.ended(now, end.outcome, end.first_token);
        self.book.forget_unused();
        ejected
    }

    /// Returns the expected time from a place to the first token.
    #[must_use]
    pub fn time_to_first_token(
        &self,
        now: clock::Moment,
        ask: &stream_ask::StreamAsk,
    ) -> time::Duration {
        let reading = self
            .book
            .table()
            .values()
            .filter(|engine| engine.entry.service == ask.service && engine.takes_work(now))
            .filter(|engine| engine.entry.stage == Some(backend_entry::EngineStage::Prefill))
            .map(|engine| engine.prefill_wait() + engine.read_time(ask.prompt_tokens))
            .min();
        reading.unwrap_or_default() + HAND_OVER
    }

    fn try_place(
        &mut self,
        now: clock::Moment,
        ask: &stream_ask::StreamAsk,
        size: service_rule::EngineSize,
    ) -> Option<StreamPlace> {
        let chooser = self.chooser(now, size);
        let choice = chooser.choose(ask)?;
        let fill = chooser.fill(self.book.get(choice.decode)?);
        let mut prefill_time = time::Duration::ZERO;
        let mut tokens_ahead = 0;
        let mut prefill = None;
        if let Some(key) = choice.prefill {
            let engine = self.book.get_mut(key)?;
            prefill_time = choice.prefill_wait + engine.read_time(ask.prompt_tokens);
            tokens_ahead = engine.used().prefill_tokens;
            engine.own.prefill_tokens += ask.prompt_tokens;
            engine.own.running += 1;
            prefill = Some((key, engine.entry.clone()));
        }
        let engine = self.book.get_mut(choice.decode)?;
        engine.own.running += 1;
        engine.own.kv_tokens += ask.kv_tokens();
        let decode = (choice.decode, engine.entry.clone());
        let key = self.leases.insert(stream_lease::StreamLease {
            prefill: choice.prefill,
            decode: choice.decode,
            ask: ask.clone(),
            granted_at: now,
            tokens_ahead,
            prefilling: choice.prefill.is_some(),
        });
        Some(StreamPlace {
            key,
            prefill,
            decode,
            prefill_time,
            fill,
        })
    }

    /// Returns the time until the requests ahead have found places.
    fn expected_wait(
        &self,
        now: clock::Moment,
        ask: &stream_ask::StreamAsk,
        size: service_rule::EngineSize,
    ) -> time::Duration {
        let engines = self
            .book
            .table()
            .values()
            .filter(|engine| engine.entry.service == ask.service && engine.takes_work(now))
            .filter(|engine| engine.entry.stage == Some(backend_entry::EngineStage::Decode))
            .count();
        let instances = u64::try_from(self.instances.live_count(now)).unwrap_or(1);
        let waiting = self.line.tokens(&ask.service) * instances + u64::from(ask.kv_tokens());
        let total = f64::from(size.kv_tokens) * f64::from(u32::try_from(engines).unwrap_or(1));
        let held = self
            .averages
            .get(&ask.service)
            .map_or(USUAL_HELD_MILLIS, |average| average.held_millis);
        let waiting = f64::from(u32::try_from(waiting).unwrap_or(u32::MAX));
        time::Duration::from_secs_f64(waiting / total.max(1.0) * held / 1_000.0)
    }

    fn overload_retry(&mut self, wait: time::Duration) -> time::Duration {
        let spread = RETRY_SPREAD.mul_f64(self.random.random::<f64>());
        (wait + OVERLOAD_RETRY + spread).max(RETRY_FLOOR)
    }

    fn count_held(&mut self, service: &ids::ServiceName, held: time::Duration) {
        let millis = held.as_secs_f64() * 1_000.0;
        let average = self
            .averages
            .entry(service.clone())
            .or_insert(StreamAverage {
                held_millis: USUAL_HELD_MILLIS,
            });
        average.held_millis += (millis - average.held_millis) * HELD_WEIGHT;
    }

    fn chooser(
        &self,
        now: clock::Moment,
        size: service_rule::EngineSize,
    ) -> engine_choice::EngineChooser<'_> {
        engine_choice::EngineChooser {
            backends: self.book.table(),
            size,
            data_centre: &self.settings.data_centre,
            now,
        }
    }

    fn engine_size(&self, service: &ids::ServiceName) -> Option<service_rule::EngineSize> {
        self.keeper
            .view()
            .config
            .as_ref()?
            .services
            .get(service)?
            .engine
    }
}

const fn refuse(reason: refusal::RefusalReason, retry_after: time::Duration) -> refusal::Refusal {
    refusal::Refusal {
        reason,
        retry_after,
    }
}
