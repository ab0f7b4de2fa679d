//! Who is placed when places are few: requests that wait, at this and at other instances.
//!
//! It answers bursts on sites of many instances. Each instance tells which requests wait there, and
//! puts them all in one order; it places a request of its own only when those before it, wherever
//! they wait, would have found places too. So a place that becomes free is taken once, though all
//! instances hear of it at the same time.

use std::{collections, sync, time};

use rand::RngExt as _;

use crate::{
    backend_entry, engine_choice, instance_news, refusal, relay_core, service_rule, stream_ask,
    wait_line, wait_news,
};

use super::core_streams;

/// Shares of a decode engine's memory that streams may be expected to take; the rest answers lengths
/// that were guessed too short.
#[derive(Clone, Copy, Debug)]
struct FillLimits {
    /// For a request before which none waits.
    at_once: f64,
    /// For a request that has waited: then all engines are nearly full.
    waiting: f64,
}

/// Limits where news are there before the next choice is made.
const CLOSE_LIMITS: FillLimits = FillLimits {
    at_once: core_streams::FILL_LIMIT,
    waiting: core_streams::FILL_LIMIT,
};

/// Limits where several instances may choose an engine before they hear of each other.
const WIDE_LIMITS: FillLimits = FillLimits {
    at_once: 0.86,
    waiting: 0.8,
};

/// Instances from which on the news of one take longer to reach all others than choices are apart.
const WIDE_FLEET: usize = 24;

/// Share up to which requests that are late already are placed, so that room is left for others.
const LATE_FILL_LIMIT: f64 = 0.6;

/// Waiting requests that an instance tells the others of; those behind them won't be placed soon.
const TOLD_REQUESTS: usize = 4;

/// Time after which a caller may come back when no engine takes work.
const NO_ENGINE_RETRY: time::Duration = time::Duration::from_millis(700);

/// Times after which callers that met a full site may come back.
#[derive(Clone, Copy, Debug)]
struct RetryTimes {
    /// Shortest time.
    least: time::Duration,
    /// Span over which callers are spread.
    spread: time::Duration,
}

/// For callers that are refused on arrival: bursts last some seconds, and who comes back within one
/// is refused again.
const ARRIVAL_RETRY: RetryTimes = RetryTimes {
    least: time::Duration::from_millis(3_000),
    spread: time::Duration::from_millis(1_500),
};

/// For callers that have waited in vain.
const WAITED_RETRY: RetryTimes = RetryTimes {
    least: time::Duration::from_millis(1_500),
    spread: time::Duration::from_millis(2_000),
};

/// Share of the engines' memory that is in use on average while requests wait.
const MEAN_FILL: f64 = 0.75;

/// The answer to a request for a place.
#[derive(Clone, Debug)]
pub enum PlacementOutcome {
    /// A place is reserved.
    Placed(Box<core_streams::StreamPlacement>),
    /// The request waits; the answer follows by [`relay_core::RelayCore::poll_queue`].
    Waiting(wait_line::QueueTicket),
    /// The request can't be served.
    Refused(refusal::Refusal),
}

impl relay_core::RelayCore {
    /// Answers a request for a place at once, or lets it wait when it will be served.
    pub fn place(
        &mut self,
        now: clock::Timestamp,
        mut ask: stream_ask::StreamRequest,
    ) -> PlacementOutcome {
        let Some(size) = self.engine_size(&ask.service) else {
            return PlacementOutcome::Refused(refuse(
                refusal::RefusalReason::NoServer,
                NO_ENGINE_RETRY,
            ));
        };
        self.fresh_usage(now);
        ask.guessed_tokens = self.guess(&ask);
        let may_pass = ask.resumes || !self.has_timely_waiting(now, &ask.service);
        if may_pass {
            self.selection_seed = self.selection_seed.wrapping_add(1);
            let chooser = self.chooser(now, size, self.fill_limits(now).at_once);
            if let Some(choice) = chooser.choose(&ask)
                && let Some(place) = self.reserve(now, &ask, choice, size)
            {
                return PlacementOutcome::Placed(Box::new(place));
            }
        }
        let chooser = self.chooser(now, size, core_streams::FILL_LIMIT);
        if !chooser.has_engine(&ask.service, backend_entry::EngineStage::Decode) {
            return PlacementOutcome::Refused(refuse(
                refusal::RefusalReason::NoServer,
                NO_ENGINE_RETRY,
            ));
        }
        let timely_until = ask
            .first_token_due
            .before(self.time_to_first_token(now, &ask));
        let timely_wait = self.expected_wait(now, &ask, size, true);
        let can_be_timely = ask.resumes || now + timely_wait <= timely_until;
        let wait = if can_be_timely {
            timely_wait
        } else {
            self.expected_wait(now, &ask, size, false)
        };
        // While others that can be on time wait, one that can't isn't placed.
        let is_hopeless = !can_be_timely && self.has_timely_waiting(now, &ask.service);
        if is_hopeless || now + wait >= ask.wait_until {
            let retry_after = self.overload_retry(ARRIVAL_RETRY);
            return PlacementOutcome::Refused(refuse(
                refusal::RefusalReason::Overload,
                retry_after,
            ));
        }
        let selection_seed = self.random.random();
        PlacementOutcome::Waiting(self.line.push(ask, timely_until, selection_seed))
    }

    /// Returns whether requests wait here.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.line.waiting().is_empty()
    }

    /// Takes a request out of the line.
    pub fn cancel_waiting(&mut self, ticket: wait_line::QueueTicket) {
        self.line.remove(ticket);
    }

    /// Answers waiting requests for which a place is free or which can't be served any more.
    pub fn poll_queue(
        &mut self,
        now: clock::Timestamp,
    ) -> Vec<(wait_line::QueueTicket, PlacementOutcome)> {
        let mut answers = Vec::new();
        for overdue in self.line.take_overdue(now) {
            let retry_after = self.overload_retry(WAITED_RETRY);
            let refusal = refuse(refusal::RefusalReason::WaitedOut, retry_after);
            answers.extend(
                overdue
                    .ticket
                    .map(|ticket| (ticket, PlacementOutcome::Refused(refusal))),
            );
        }
        if !self.line.waiting().is_empty() {
            self.fresh_usage(now);
            self.grant_in_order(now, &mut answers);
            self.book.clear_expected();
        }
        answers
    }

    /// Returns the next moment at which [`relay_core::RelayCore::poll_queue`] has something to refuse.
    #[must_use]
    pub fn next_queue_deadline(&self) -> Option<clock::Timestamp> {
        self.line.next_queue_deadline()
    }

    /// Returns what this instance tells of the requests that wait here.
    pub(super) fn waiting_news(&self, now: clock::Timestamp) -> Vec<wait_news::QueueUpdate> {
        let mut waiting: Vec<_> = self.line.waiting().iter().collect();
        waiting.sort_by_key(|waiting| waiting.rank(now));
        waiting
            .into_iter()
            .take(TOLD_REQUESTS)
            .map(|waiting| {
                let service = instance_news::service_hash(&waiting.ask.service);
                wait_news::QueueUpdate::new(now, service, waiting)
            })
            .collect()
    }

    /// Goes through the waiting requests of all instances in order, reserves places for own ones
    /// and expects others to take theirs, until the first of a service finds none.
    fn grant_in_order(
        &mut self,
        now: clock::Timestamp,
        answers: &mut Vec<(wait_line::QueueTicket, PlacementOutcome)>,
    ) {
        let mut waiting: Vec<_> = self
            .all_waiting(now)
            .map(|waiting| (waiting.rank(now), sync::Arc::clone(waiting)))
            .collect();
        waiting.sort_unstable_by_key(|(rank, _)| *rank);
        let mut full = collections::BTreeSet::new();
        for (_, next) in &waiting {
            let service = &next.ask.service;
            let Some(size) = self
                .engine_size(service)
                .filter(|_| !full.contains(service))
            else {
                continue;
            };
            let Some(choice) = self.choose_waiting(now, next, size) else {
                full.insert(service.clone());
                continue;
            };
            match next.ticket {
                None => self.expect(&next.ask, choice),
                Some(ticket) => {
                    if let Some(place) = self.reserve(now, &next.ask, choice, size) {
                        self.line.remove(ticket);
                        answers.push((ticket, PlacementOutcome::Placed(Box::new(place))));
                    }
                }
            }
        }
    }

    /// Returns the engines for a waiting request, which all instances choose alike.
    fn choose_waiting(
        &self,
        now: clock::Timestamp,
        waiting: &wait_line::WaitingAsk,
        size: service_rule::EngineSize,
    ) -> Option<engine_choice::EngineChoice> {
        let limit = if waiting.is_timely(now) {
            self.fill_limits(now).waiting
        } else {
            LATE_FILL_LIMIT
        };
        let chooser = engine_choice::EngineChooser {
            data_centre: None,
            seed: u64::from(waiting.selection_seed),
            ..self.chooser(now, size, limit)
        };
        chooser.choose(&waiting.ask)
    }

    fn fill_limits(&self, now: clock::Timestamp) -> FillLimits {
        if self.instances.live_count(now) < WIDE_FLEET {
            CLOSE_LIMITS
        } else {
            WIDE_LIMITS
        }
    }

    /// Counts a request of another instance at the engines that it is expected to be given.
    fn expect(&mut self, ask: &stream_ask::StreamRequest, choice: engine_choice::EngineChoice) {
        if let Some(engine) = self.book.get_mut(choice.decode) {
            engine.expected.push(ask.load());
        }
        let reader = choice.prefill.unwrap_or(choice.decode);
        if let Some(engine) = self.book.get_mut(reader) {
            engine.expected_prefill_tokens += ask.prompt_tokens;
        }
    }

    /// Returns the requests that wait at this and at other instances.
    fn all_waiting(
        &self,
        now: clock::Timestamp,
    ) -> impl Iterator<Item = &sync::Arc<wait_line::WaitingAsk>> {
        self.line
            .waiting()
            .iter()
            .chain(self.instances.waiting(now))
    }

    /// Returns whether a request waits somewhere that can be on time.
    fn has_timely_waiting(&self, now: clock::Timestamp, service: &ids::ServiceName) -> bool {
        self.all_waiting(now)
            .any(|waiting| waiting.ask.service == *service && waiting.is_timely(now))
    }

    /// Returns the time until the requests that go before one that can be on time, or before one
    /// that can't, have found places.
    fn expected_wait(
        &self,
        now: clock::Timestamp,
        ask: &stream_ask::StreamRequest,
        size: service_rule::EngineSize,
        timely: bool,
    ) -> time::Duration {
        let engines = self
            .book
            .table()
            .values()
            .filter(|engine| engine.entry.service == ask.service && engine.takes_work(now))
            .filter(|engine| engine.entry.stage == Some(backend_entry::EngineStage::Decode))
            .count();
        let ahead: u64 = self
            .all_waiting(now)
            .filter(|waiting| waiting.ask.service == ask.service)
            .filter(|waiting| !timely || waiting.is_timely(now))
            .map(|waiting| u64::from(waiting.ask.mean_tokens()))
            .sum();
        let waiting = ahead + u64::from(ask.mean_tokens());
        let total = f64::from(size.kv_tokens) * f64::from(u32::try_from(engines).unwrap_or(1));
        let held = self.held_millis(&ask.service);
        let waiting = f64::from(u32::try_from(waiting).unwrap_or(u32::MAX));
        time::Duration::from_secs_f64(waiting / (total.max(1.0) * MEAN_FILL) * held / 1_000.0)
    }

    fn overload_retry(&mut self, times: RetryTimes) -> time::Duration {
        times.least + times.spread.mul_f64(self.random.random::<f64>())
    }
}

const fn refuse(reason: refusal::RefusalReason, retry_after: time::Duration) -> refusal::Refusal {
    refusal::Refusal {
        reason,
        retry_after,
    }
}
