//! Requests that become whole during a planned stop: which are sent on, and which are refused.

use std::time;

use crate::{drain_plan, refusal, relay_core, stream_request};

/// Retry delay of requests that are refused during a planned stop. Other instances serve them.
const DRAIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// Refusal of a request that an instance which stops doesn't send on.
pub const DRAIN_REFUSAL: refusal::Refusal = refusal::Refusal {
    reason: refusal::RefusalReason::ShuttingDown,
    retry_after: DRAIN_RETRY_DELAY,
};

impl relay_core::RelayCore {
    /// Starts draining: the instance is no longer ready, which its state updates report.
    pub fn start_draining(&mut self, plan: drain_plan::DrainPlan) {
        self.drain_plan = Some(plan);
    }

    /// Returns whether the instance drains.
    pub(super) const fn is_draining(&self) -> bool {
        self.drain_plan.is_some()
    }

    /// Returns the refusal of a call that can't be expected to end before this instance does.
    #[must_use]
    pub fn late_call(
        &self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
        deadline: clock::Timestamp,
    ) -> Option<refusal::Refusal> {
        let plan = self.drain_plan?;
        let expected = self.call_attempt_timeout(service);
        (!plan.admits_call(now, expected, deadline)).then_some(DRAIN_REFUSAL)
    }

    /// Returns the refusal of a stream that can't be expected to end before this instance does.
    #[must_use]
    pub fn late_stream(
        &self,
        now: clock::Timestamp,
        request: &stream_request::StreamRequest,
        deadline: clock::Timestamp,
    ) -> Option<refusal::Refusal> {
        let plan = self.drain_plan?;
        let expected = self.time_to_first_event(now, request) + self.output_time(request);
        (!plan.admits_stream(now, expected, deadline)).then_some(DRAIN_REFUSAL)
    }

    /// Returns the expected time from the first event of a stream to its end: none while no stream of
    /// the service has been measured, or for one that goes on.
    fn output_time(&self, request: &stream_request::StreamRequest) -> time::Duration {
        let estimate = self.estimate(&request.service);
        let Some(estimate) = estimate.filter(|estimate| estimate.streams > 0 && !request.resumes)
        else {
            return time::Duration::ZERO;
        };
        let lengths = estimate.lengths;
        let tokens = lengths.expected(request.expected_tokens, request.output_tokens);
        clock::bounded_millis(f64::from(tokens) / estimate.decode_rate)
    }
}
