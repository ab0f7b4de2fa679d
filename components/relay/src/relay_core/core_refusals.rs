//! Refusal of generations, and their expected wait.

use std::time;

use rand::RngExt as _;

use crate::{backend_entry, refusal, relay_core, service_rule, stream_request, wait_queue};

use super::core_queue;

/// Retry delay for callers when no engine accepts work.
pub(super) const NO_ENGINE_RETRY_DELAY: time::Duration = time::Duration::from_millis(700);

/// Retry delay for callers whose prompt no version may be sent until a stream can't be taken up any more.
pub(super) const BARRED_RETRY_DELAY: time::Duration = time::Duration::from_secs(5);

/// Range of the retry delay for callers that are refused because of overload.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryDelays {
    /// Smallest delay.
    min: time::Duration,
    /// Width of the interval over which the delays are spread.
    spread: time::Duration,
}

/// Delays for callers that are refused on arrival. Bursts last some seconds, and a retry within the
/// same burst would be refused again.
pub(super) const ARRIVAL_RETRY_DELAYS: RetryDelays = RetryDelays {
    min: time::Duration::from_millis(3_000),
    spread: time::Duration::from_millis(1_500),
};

/// Delays for callers whose request expired in the wait queue.
pub(super) const QUEUE_RETRY_DELAYS: RetryDelays = RetryDelays {
    min: time::Duration::from_millis(1_500),
    spread: time::Duration::from_millis(2_000),
};

/// Mean utilization of the decode engines while requests wait.
const MEAN_UTILIZATION: f64 = 0.75;

impl relay_core::RelayCore {
    /// Refuses the waiting requests that expire before any decode engine may receive them.
    pub(super) fn refuse_backed_off(
        &mut self,
        now: clock::Timestamp,
        outcomes: &mut Vec<(wait_queue::QueueTicket, core_queue::PlacementOutcome)>,
    ) {
        let decode = Some(backend_entry::EngineStage::Decode);
        let refused: Vec<_> = self
            .queue
            .waiting()
            .iter()
            .filter_map(|waiting| {
                let request = &waiting.request;
                let refusal = self.backoff_refusal(now, request.pool(), decode)?;
                let expires = now + refusal.retry_after >= request.wait_until;
                waiting.ticket.filter(|_| expires).zip(Some(refusal))
            })
            .collect();
        for (ticket, refusal) in refused {
            self.queue.remove(ticket);
            outcomes.push((ticket, core_queue::PlacementOutcome::Refused(refusal)));
        }
    }

    /// Returns the expected time until the requests `ahead` of a request, in mean tokens, are placed. A stream that is bound
    /// to a software version waits for engines of that version only.
    pub(super) fn expected_wait(
        &self,
        now: clock::Timestamp,
        request: &stream_request::StreamRequest,
        size: service_rule::EngineSize,
        ahead: u64,
    ) -> time::Duration {
        let engines = self
            .backends
            .table()
            .values()
            .filter(|engine| request.pool().contains(engine) && engine.accepts_work(now))
            .filter(|engine| engine.entry.stage == Some(backend_entry::EngineStage::Decode))
            .count();
        let demand = ahead + u64::from(request.mean_tokens());
        let capacity = f64::from(size.kv_tokens) * f64::from(u32::try_from(engines).unwrap_or(1));
        let slot_millis = self
            .estimate(&request.service)
            .map_or(0.0, |estimate| estimate.slot_millis);
        let demand = f64::from(u32::try_from(demand).unwrap_or(u32::MAX));
        clock::bounded_millis(demand / (capacity.max(1.0) * MEAN_UTILIZATION) * slot_millis)
    }

    /// Returns the refusal of a request whose pool has no engine that accepts work.
    pub(super) fn no_engine_refusal(
        &self,
        request: &stream_request::StreamRequest,
    ) -> refusal::Refusal {
        let pool = request.pool();
        let mut engines = self.backends.table().values();
        let is_gone = pool.software.is_some()
            && !engines.any(|engine| engine.is_current() && pool.contains(engine));
        let reason = if is_gone {
            refusal::RefusalReason::VersionGone
        } else {
            refusal::RefusalReason::NoServer
        };
        refuse(reason, NO_ENGINE_RETRY_DELAY)
    }

    pub(super) fn overload_retry_delay(&mut self, delays: RetryDelays) -> time::Duration {
        delays.min + delays.spread.mul_f64(self.random.random::<f64>())
    }
}

/// Returns a refusal.
pub(super) const fn refuse(
    reason: refusal::RefusalReason,
    retry_after: time::Duration,
) -> refusal::Refusal {
    refusal::Refusal {
        reason,
        retry_after,
    }
}
