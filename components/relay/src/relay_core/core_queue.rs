//! Placement of waiting requests across instances.
//!
//! In a burst, requests wait at many instances of a site for the same engines. Each instance sends
//! its first waiting requests to the others, sorts its own and the received ones into one queue
//! order, and places an own request only if all requests before it, at any instance, would have
//! been placed too. Freed capacity is therefore assigned once, although all instances are notified
//! of it at the same time.

use std::{collections, sync};

use rand::RngExt as _;

use crate::{
    backend_entry, engine_selector, instance_update, queue_update, refusal, relay_core,
    service_rule, software_key, stream_request, wait_queue,
};

use super::{core_refusals, core_streams};

/// Limits on the expected utilization of a decode engine. The remaining memory absorbs answers that
/// exceed their estimated length.
#[derive(Clone, Copy, Debug)]
struct UtilizationLimits {
    /// For a request on arrival, when no other request waits.
    on_arrival: f64,
    /// For a request that has waited, when all engines are nearly full.
    waiting: f64,
}

/// Limits of a small fleet, where state updates arrive before the next selection.
const SMALL_FLEET_LIMITS: UtilizationLimits = UtilizationLimits {
    on_arrival: core_streams::UTILIZATION_LIMIT,
    waiting: core_streams::UTILIZATION_LIMIT,
};

/// Limits of a large fleet, where several instances may select the same engine before they receive
/// each other's state updates.
const LARGE_FLEET_LIMITS: UtilizationLimits = UtilizationLimits {
    on_arrival: 0.95,
    waiting: 0.93,
};

/// Number of instances from which a state update takes longer to reach all others than the time
/// between two selections.
const LARGE_FLEET_INSTANCES: usize = 24;

/// Utilization limit for requests that are already late, which leaves capacity for timely ones.
const LATE_UTILIZATION_LIMIT: f64 = 0.6;

/// Largest number of waiting requests in a state update; later ones won't be placed soon.
const MAX_SENT_REQUESTS: usize = 4;

/// Outcome of a placement request.
#[derive(Clone, Debug)]
pub enum PlacementOutcome {
    /// Slots are reserved.
    Placed(Box<core_streams::StreamPlacement>),
    /// The request waits; [`relay_core::RelayCore::poll_queue`] returns the final outcome.
    Waiting(wait_queue::QueueTicket),
    /// The request is refused.
    Refused(refusal::Refusal),
}

impl relay_core::RelayCore {
    /// Places a request, enqueues it when it is expected to be placed before `wait_until`, or
    /// refuses it.
    pub fn place(
        &mut self,
        now: clock::Timestamp,
        mut request: stream_request::StreamRequest,
    ) -> PlacementOutcome {
        let Some(size) = self.engine_size(&request.service) else {
            return PlacementOutcome::Refused(core_refusals::refuse(
                refusal::RefusalReason::NoServer,
                core_refusals::NO_ENGINE_RETRY_DELAY,
            ));
        };
        if let Some(refusal) = self.quarantine_refusal(now, &request.suspects) {
            return PlacementOutcome::Refused(refusal);
        }
        self.refresh_stale_usage(now);
        let decode = Some(backend_entry::EngineStage::Decode);
        if let Some(refusal) = self.backoff_refusal(now, request.pool(), decode) {
            return PlacementOutcome::Refused(refusal);
        }
        let prompt = self.prompt_terms(now, &request);
        if prompt.allow_none() {
            return PlacementOutcome::Refused(core_refusals::refuse(
                refusal::RefusalReason::VersionUnknown,
                core_refusals::BARRED_RETRY_DELAY,
            ));
        }
        // No other engine can serve a request that is bound to the version.
        let only_engine = request
            .software
            .and_then(|software| self.only_engine(&request.service, software));
        request.avoid.retain(|engine| Some(*engine) != only_engine);
        request.estimated_tokens = self.estimate_output(now, &request);
        self.activate_share(&request);
        let ahead = self.queue_ahead(now, &request);
        let may_place_now = request.resumes || !ahead.is_blocked;
        if may_place_now {
            self.selection_seed = self.selection_seed.wrapping_add(1);
            let reserved = self.reserved_versions(now);
            let selector = engine_selector::EngineSelector {
                reserved: &reserved,
                prompt: &prompt,
                ..self.selector(now, size, self.utilization_limits(now).on_arrival)
            };
            if let Some(selection) = selector.select(&request)
                && let Some(placement) = self.reserve(now, &request, selection, size)
            {
                return PlacementOutcome::Placed(Box::new(placement));
            }
        }
        let selector = self.selector(now, size, core_streams::UTILIZATION_LIMIT);
        if !selector.has_engine(request.pool(), backend_entry::EngineStage::Decode) {
            return PlacementOutcome::Refused(self.no_engine_refusal(&request));
        }
        let timely_until = self.timely_until(now, &request);
        let limit_wait = self.limit_wait(now, request.pool());
        if now + limit_wait >= request.wait_until {
            let retry_after = self.overload_retry_delay(core_refusals::ARRIVAL_RETRY_DELAYS);
            return PlacementOutcome::Refused(core_refusals::refuse(
                refusal::RefusalReason::RateLimit,
                retry_after,
            ));
        }
        let timely_wait = self.expected_wait(now, &request, size, ahead.timely);
        let timely_wait = timely_wait.max(limit_wait);
        let can_be_timely = request.resumes || now + timely_wait <= timely_until;
        let wait = if can_be_timely {
            timely_wait
        } else {
            self.expected_wait(now, &request, size, ahead.late)
        };
        // A request that can't be on time is refused while timely requests wait.
        let is_certainly_late = !can_be_timely && ahead.has_timely;
        if is_certainly_late || now + wait >= request.wait_until {
            let retry_after = self.overload_retry_delay(core_refusals::ARRIVAL_RETRY_DELAYS);
            return PlacementOutcome::Refused(core_refusals::refuse(
                refusal::RefusalReason::Overload,
                retry_after,
            ));
        }
        let selection_seed = self.random.random();
        PlacementOutcome::Waiting(self.queue.push(request, timely_until, selection_seed))
    }

    /// Returns whether requests wait at this instance.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.queue.waiting().is_empty()
    }

    /// Removes a request from the wait queue.
    pub fn cancel_waiting(&mut self, ticket: wait_queue::QueueTicket) {
        self.queue.remove(ticket);
    }

    /// Returns the outcomes of waiting requests that are placed now or whose `wait_until` has
    /// passed.
    pub fn poll_queue(
        &mut self,
        now: clock::Timestamp,
    ) -> Vec<(wait_queue::QueueTicket, PlacementOutcome)> {
        let mut outcomes = Vec::new();
        for expired in self.queue.remove_expired(now) {
            let retry_after = self.overload_retry_delay(core_refusals::QUEUE_RETRY_DELAYS);
            let refusal = core_refusals::refuse(refusal::RefusalReason::QueueTimeout, retry_after);
            outcomes.extend(
                expired
                    .ticket
                    .map(|ticket| (ticket, PlacementOutcome::Refused(refusal))),
            );
        }
        self.refuse_backed_off(now, &mut outcomes);
        self.refuse_quarantined(now, &mut outcomes);
        if !self.queue.waiting().is_empty() {
            self.refresh_stale_usage(now);
            self.place_in_order(now, &mut outcomes);
            self.backends.clear_expected();
            self.limits.clear_expected();
        }
        outcomes
    }

    /// Returns the earliest time at which [`relay_core::RelayCore::poll_queue`] has a request to
    /// refuse.
    #[must_use]
    pub fn next_queue_deadline(&self) -> Option<clock::Timestamp> {
        self.queue.next_queue_deadline()
    }

    /// Returns the first waiting requests of this instance in queue order, for its state updates.
    pub(super) fn queue_updates(&self, now: clock::Timestamp) -> Vec<queue_update::QueueUpdate> {
        self.in_order(now, self.queue.waiting().iter())
            .into_iter()
            .take(MAX_SENT_REQUESTS)
            .map(|(_, waiting)| {
                let service = instance_update::service_hash(&waiting.request.service);
                queue_update::QueueUpdate::new(now, service, waiting)
            })
            .collect()
    }

    /// Places the waiting requests of all instances in queue order: own requests get reserved
    /// slots, those of other instances count as expected usage. Stops for a service at the first
    /// request without capacity; one that is bound to a software version keeps only the engines of
    /// that version from later requests.
    fn place_in_order(
        &mut self,
        now: clock::Timestamp,
        outcomes: &mut Vec<(wait_queue::QueueTicket, PlacementOutcome)>,
    ) {
        let waiting: Vec<_> = self
            .in_order(now, self.all_waiting(now))
            .into_iter()
            .map(|(_, waiting)| sync::Arc::clone(waiting))
            .collect();
        let mut exhausted = collections::BTreeSet::new();
        let mut reserved = collections::BTreeSet::new();
        for next in &waiting {
            let service = &next.request.service;
            let bound_to = next.request.software;
            let is_exhausted = exhausted.contains(service)
                || bound_to.is_some_and(|software| reserved.contains(&software));
            let Some(size) = self.engine_size(service).filter(|_| !is_exhausted) else {
                continue;
            };
            let Some(selection) = self.select_waiting(now, next, size, &reserved) else {
                match bound_to {
                    Some(software) => reserved.insert(software),
                    None => exhausted.insert(service.clone()),
                };
                continue;
            };
            match next.ticket {
                None => self.count_expected(&next.request, selection),
                Some(ticket) => {
                    if let Some(placement) = self.reserve(now, &next.request, selection, size) {
                        self.queue.remove(ticket);
                        outcomes.push((ticket, PlacementOutcome::Placed(Box::new(placement))));
                    }
                }
            }
        }
    }

    /// Returns the engines for a waiting request. All instances compute the same selection.
    fn select_waiting(
        &self,
        now: clock::Timestamp,
        waiting: &wait_queue::WaitingRequest,
        size: service_rule::EngineSize,
        reserved: &collections::BTreeSet<software_key::SoftwareKey>,
    ) -> Option<engine_selector::EngineSelection> {
        let limit = if waiting.is_timely(now) {
            self.utilization_limits(now).waiting
        } else {
            LATE_UTILIZATION_LIMIT
        };
        let prompt = self.prompt_terms(now, &waiting.request);
        let selector = engine_selector::EngineSelector {
            data_centre: None,
            seed: u64::from(waiting.selection_seed),
            reserved,
            prompt: &prompt,
            ..self.selector(now, size, limit)
        };
        selector.select(&waiting.request)
    }

    fn utilization_limits(&self, now: clock::Timestamp) -> UtilizationLimits {
        if self.instances.live_count(now) < LARGE_FLEET_INSTANCES {
            SMALL_FLEET_LIMITS
        } else {
            LARGE_FLEET_LIMITS
        }
    }

    /// Counts a request of another instance as expected usage of the selected engines.
    fn count_expected(
        &mut self,
        request: &stream_request::StreamRequest,
        selection: engine_selector::EngineSelection,
    ) {
        if let Some(engine) = self.backends.get_mut(selection.decode) {
            engine.expected.push(request.load());
            self.limits.count_expected(engine.incarnation);
        }
        let prefill_engine = selection.prefill.unwrap_or(selection.decode);
        if let Some(engine) = self.backends.get_mut(prefill_engine) {
            engine.expected_prefill_tokens += request.prompt_tokens;
            if selection.prefill.is_some() {
                self.limits.count_expected(engine.incarnation);
            }
        }
    }

    /// Returns the requests that wait at this instance and, as received, at the others.
    pub(super) fn all_waiting(
        &self,
        now: clock::Timestamp,
    ) -> impl Iterator<Item = &sync::Arc<wait_queue::WaitingRequest>> {
        self.queue
            .waiting()
            .iter()
            .chain(self.instances.waiting(now))
    }

    /// Returns the software versions to which waiting streams are bound.
    fn reserved_versions(
        &self,
        now: clock::Timestamp,
    ) -> collections::BTreeSet<software_key::SoftwareKey> {
        self.all_waiting(now)
            .filter(|waiting| waiting.is_timely(now))
            .filter_map(|waiting| waiting.request.software)
            .collect()
    }
}
