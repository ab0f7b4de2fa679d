//! Requests that an instance which stops can't finish.

use crate::{drain_tally, gateway, relay_answer};

impl gateway::Gateway {
    /// Returns the refusal of a call that can't be expected to end before this instance does.
    pub(crate) fn late_call(&self, routed: &gateway::RoutedRequest) -> Option<relay::Refusal> {
        self.core.drain_plan()?;
        self.core
            .decide(|core, now| core.late_call(now, &routed.service, routed.deadline))
    }

    /// Returns the answer to a request that is open when all have to be answered.
    pub(crate) fn answer_at_end(
        &self,
        routed: &gateway::RoutedRequest,
    ) -> relay_answer::LocalAnswer {
        let answer = if routed.runs.may_have_run() {
            relay_answer::LocalAnswer::Unknown
        } else {
            relay_answer::LocalAnswer::NotRun
        };
        let outcome = drain_tally::DrainOutcome::Ended(answer);
        self.core.count_drained(outcome, routed.arrived);
        answer
    }

    /// Counts a request that is answered after a refusal, if it is refused since this instance stops.
    pub(crate) fn count_refusal(
        &self,
        routed: &gateway::RoutedRequest,
        answer: relay_answer::LocalAnswer,
        refusal: Option<relay::Refusal>,
    ) {
        let is_late = refusal.is_some_and(|refusal| refusal == relay::DRAIN_REFUSAL);
        if is_late && answer == relay_answer::LocalAnswer::NotRun {
            let outcome = drain_tally::DrainOutcome::Refused;
            self.core.count_drained(outcome, routed.arrived);
        }
    }

    /// Waits until a request has been read, or until it has to be answered, since this instance ends;
    /// returns `None` then.
    pub async fn read_in_time<T>(&self, reading: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            read = reading => Some(read),
            () = self.core.answers_due() => None,
        }
    }
}
