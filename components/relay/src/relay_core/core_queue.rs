//! Who is placed when places are few: requests that wait, at this and at other instances.
//!
//! It answers bursts on sites of many instances. Each instance tells which requests wait there, and
//! puts them all in one order; it places a request of its own only when those before it, wherever
//! they wait, would have found places too. So a place that becomes free is taken once, though all
//! instances hear of it at the same time.

use std::{collections, sync, time};

use rand::RngExt as _;

use crate::{
    backend_entry, engine_selector, instance_update, queue_update, refusal, relay_core,
    service_rule, stream_request, wait_queue,
};

use super::core_streams;

/// Shares of a decode engine's memory that streams may be expected to take; the rest answers lengths
/// that were guessed too short.
#[derive(Clone, Copy, Debug)]
struct UtilizationLimits {
    /// For a request before which none waits.
    on_arrival: f64,
    /// For a request that has waited: then all engines are nearly full.
    waiting: f64,
}

/// Limits where news are there before the next choice is made.
const SMALL_FLEET_LIMITS: UtilizationLimits = UtilizationLimits {
    on_arrival: core_streams::UTILIZATION_LIMIT,
    waiting: core_streams::UTILIZATION_LIMIT,
};

/// Limits where several instances may choose an engine before they hear of each other.
const LARGE_FLEET_LIMITS: UtilizationLimits = UtilizationLimits {
    on_arrival: 0.86,
    waiting: 0.8,
};

/// Instances from which on the news of one take longer to reach all others than choices are apart.
const LARGE_FLEET_INSTANCES: usize = 24;

/// Share up to which requests that are late already are placed, so that room is left for others.
const LATE_UTILIZATION_LIMIT: f64 = 0.6;

/// Waiting requests that an instance tells the others of; those behind them won't be placed soon.
const MAX_SENT_REQUESTS: usize = 4;

/// Time after which a caller may come back when no engine takes work.
const NO_ENGINE_RETRY_DELAY: time::Duration = time::Duration::from_millis(700);

/// Times after which callers that met a full site may come back.
#[derive(Clone, Copy, Debug)]
struct RetryDelays {
    /// Shortest time.
    least: time::Duration,
    /// Span over which callers are spread.
    spread: time::Duration,
}

/// For callers that are refused on arrival: bursts last some seconds, and who comes back within one
/// is refused again.
const ARRIVAL_RETRY_DELAYS: RetryDelays = RetryDelays {
    least: time::Duration::from_millis(3_000),
    spread: time::Duration::from_millis(1_500),
};

/// For callers that have waited in vain.
const QUEUE_RETRY_DELAYS: RetryDelays = RetryDelays {
    least: time::Duration::from_millis(1_500),
    spread: time::Duration::from_millis(2_000),
};

/// Share of the engines' memory that is in use on average while requests wait.
const MEAN_UTILIZATION: f64 = 0.75;

/// The answer to a request for a place.
#[derive(Clone, Debug)]
pub enum PlaceAnswer {
    /// A place is reserved.
    Placed(Box<core_streams::StreamPlace>),
    /// The request waits; the answer follows by [`relay_core::RelayCore::grants`].
    Waiting(wait_queue::WaitTicket),
    /// The request can't be served.
    Refused(refusal::Refusal),
}

impl relay_core::RelayCore {
    /// Answers a request for a place at once, or lets it wait when it will be served.
    pub fn place(
        &mut self,
        now: clock::Moment,
        mut request: stream_request::StreamAsk,
    ) -> PlaceAnswer {
        let Some(size) = self.engine_size(&request.service) else {
            return PlaceAnswer::Refused(refuse(
                refusal::RefusalReason::NoServer,
                NO_ENGINE_RETRY_DELAY,
            ));
        };
        self.refresh_stale_usage(now);
        request.estimated_tokens = self.estimate_output(&request);
        let may_place_now = request.resumes || !self.has_timely_waiting(now, &request.service);
        if may_place_now {
            self.choice_seed = self.choice_seed.wrapping_add(1);
            let selector = self.selector(now, size, self.utilization_limits(now).on_arrival);
            if let Some(selection) = selector.select(&request)
                && let Some(place) = self.reserve(now, &request, selection, size)
            {
                return PlaceAnswer::Placed(Box::new(place));
            }
        }
        let selector = self.selector(now, size, core_streams::UTILIZATION_LIMIT);
        if !selector.has_engine(&request.service, backend_entry::EngineStage::Decode) {
            return PlaceAnswer::Refused(refuse(
                refusal::RefusalReason::NoServer,
                NO_ENGINE_RETRY_DELAY,
            ));
        }
        let timely_until = request
            .first_token_due
            .before(self.time_to_first_token(now, &request));
        let timely_wait = self.expected_wait(now, &request, size, true);
        let can_be_timely = request.resumes || now + timely_wait <= timely_until;
        let wait = if can_be_timely {
            timely_wait
        } else {
            self.expected_wait(now, &request, size, false)
        };
        // While others that can be on time wait, one that can't isn't placed.
        let is_certainly_late = !can_be_timely && self.has_timely_waiting(now, &request.service);
        if is_certainly_late || now + wait >= request.wait_until {
            let retry_after = self.overload_retry_delay(ARRIVAL_RETRY_DELAYS);
            return PlaceAnswer::Refused(refuse(refusal::RefusalReason::Overload, retry_after));
        }
        let choice_seed = self.random.random();
        PlaceAnswer::Waiting(self.line.push(request, timely_until, choice_seed))
    }

    /// Returns whether requests wait here.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.line.waiting().is_empty()
    }

    /// Takes a request out of the line.
    pub fn stop_waiting(&mut self, ticket: wait_queue::WaitTicket) {
        self.line.remove(ticket);
    }

    /// Answers waiting requests for which a place is free or which can't be served any more.
    pub fn grants(&mut self, now: clock::Moment) -> Vec<(wait_queue::WaitTicket, PlaceAnswer)> {
        let mut answers = Vec::new();
        for overdue in self.line.remove_expired(now) {
            let retry_after = self.overload_retry_delay(QUEUE_RETRY_DELAYS);
            let refusal = refuse(refusal::RefusalReason::QueueTimeout, retry_after);
            answers.extend(
                overdue
                    .ticket
                    .map(|ticket| (ticket, PlaceAnswer::Refused(refusal))),
            );
        }
        if !self.line.waiting().is_empty() {
            self.refresh_stale_usage(now);
            self.place_in_order(now, &mut answers);
            self.book.clear_expected();
        }
        answers
    }

    /// Returns the next moment at which [`relay_core::RelayCore::grants`] has something to refuse.
    #[must_use]
    pub fn next_overdue(&self) -> Option<clock::Moment> {
        self.line.next_overdue()
    }

    /// Returns what this instance tells of the requests that wait here.
    pub(super) fn queue_updates(&self, now: clock::Moment) -> Vec<queue_update::WaitNews> {
        let mut waiting: Vec<_> = self.line.waiting().iter().collect();
        waiting.sort_by_key(|waiting| waiting.rank(now));
        waiting
            .into_iter()
            .take(MAX_SENT_REQUESTS)
            .map(|waiting| {
                let service = instance_update::service_hash(&waiting.request.service);
                queue_update::WaitNews::new(now, service, waiting)
            })
            .collect()
    }

    /// Goes through the waiting requests of all instances in order, reserves places for own ones
    /// and expects others to take theirs, until the first of a service finds none.
    fn place_in_order(
        &mut self,
        now: clock::Moment,
        answers: &mut Vec<(wait_queue::WaitTicket, PlaceAnswer)>,
    ) {
        let mut waiting: Vec<_> = self
            .all_waiting(now)
            .map(|waiting| (waiting.rank(now), sync::Arc::clone(waiting)))
            .collect();
        waiting.sort_unstable_by_key(|(rank, _)| *rank);
        let mut full = collections::BTreeSet::new();
        for (_, next) in &waiting {
            let service = &next.request.service;
            let Some(size) = self
                .engine_size(service)
                .filter(|_| !full.contains(service))
            else {
                continue;
            };
            let Some(selection) = self.select_waiting(now, next, size) else {
                full.insert(service.clone());
                continue;
            };
            match next.ticket {
                None => self.reserve_expected(&next.request, selection),
                Some(ticket) => {
                    if let Some(place) = self.reserve(now, &next.request, selection, size) {
                        self.line.remove(ticket);
                        answers.push((ticket, PlaceAnswer::Placed(Box::new(place))));
                    }
                }
            }
        }
    }

    /// Returns the engines for a waiting request, which all instances choose alike.
    fn select_waiting(
        &self,
        now: clock::Moment,
        waiting: &wait_queue::WaitingRequest,
        size: service_rule::EngineSize,
    ) -> Option<engine_selector::EngineSelection> {
        let limit = if waiting.is_timely(now) {
            self.utilization_limits(now).waiting
        } else {
            LATE_UTILIZATION_LIMIT
        };
        let selector = engine_selector::EngineSelector {
            data_centre: None,
            seed: u64::from(waiting.choice_seed),
            ..self.selector(now, size, limit)
        };
        selector.select(&waiting.request)
    }

    fn utilization_limits(&self, now: clock::Moment) -> UtilizationLimits {
        if self.instances.live_count(now) < LARGE_FLEET_INSTANCES {
            SMALL_FLEET_LIMITS
        } else {
            LARGE_FLEET_LIMITS
        }
    }

    /// Counts a request of another instance at the engines that it is expected to be given.
    fn reserve_expected(
        &mut self,
        request: &stream_request::StreamAsk,
        selection: engine_selector::EngineSelection,
    ) {
        if let Some(engine) = self.book.get_mut(selection.decode) {
            engine.expected.push(request.load());
        }
        let prefill_engine = selection.prefill.unwrap_or(selection.decode);
        if let Some(engine) = self.book.get_mut(prefill_engine) {
            engine.expected_prefill_tokens += request.prompt_tokens;
        }
    }

    /// Returns the requests that wait at this and at other instances.
    fn all_waiting(
        &self,
        now: clock::Moment,
    ) -> impl Iterator<Item = &sync::Arc<wait_queue::WaitingRequest>> {
        self.line
            .waiting()
            .iter()
            .chain(self.instances.waiting(now))
    }

    /// Returns whether a request waits somewhere that can be on time.
    fn has_timely_waiting(&self, now: clock::Moment, service: &ids::ServiceName) -> bool {
        self.all_waiting(now)
            .any(|waiting| waiting.request.service == *service && waiting.is_timely(now))
    }

    /// Returns the time until the requests that go before one that can be on time, or before one
    /// that can't, have found places.
    fn expected_wait(
        &self,
        now: clock::Moment,
        request: &stream_request::StreamAsk,
        size: service_rule::EngineSize,
        timely: bool,
    ) -> time::Duration {
        let engines = self
            .book
            .table()
            .values()
            .filter(|engine| engine.entry.service == request.service && engine.accepts_work(now))
            .filter(|engine| engine.entry.stage == Some(backend_entry::EngineStage::Decode))
            .count();
        let ahead: u64 = self
            .all_waiting(now)
            .filter(|waiting| waiting.request.service == request.service)
            .filter(|waiting| !timely || waiting.is_timely(now))
            .map(|waiting| u64::from(waiting.request.mean_tokens()))
            .sum();
        let waiting = ahead + u64::from(request.mean_tokens());
        let total = f64::from(size.kv_tokens) * f64::from(u32::try_from(engines).unwrap_or(1));
        let held = self.slot_millis(&request.service);
        let waiting = f64::from(u32::try_from(waiting).unwrap_or(u32::MAX));
        time::Duration::from_secs_f64(
            waiting / (total.max(1.0) * MEAN_UTILIZATION) * held / 1_000.0,
        )
    }

    fn overload_retry_delay(&mut self, times: RetryDelays) -> time::Duration {
        times.least + times.spread.mul_f64(self.random.random::<f64>())
    }
}

const fn refuse(reason: refusal::RefusalReason, retry_after: time::Duration) -> refusal::Refusal {
    refusal::Refusal {
        reason,
        retry_after,
    }
}
