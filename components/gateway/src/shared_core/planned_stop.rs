//! The planned stop of an instance, as its tasks see it.

use std::time;

use crate::{drain_tally, shared_core};

impl shared_core::SharedCore {
    /// Begins a planned stop of a process that exits `span` from now.
    pub fn start_draining(&self, span: time::Duration) -> relay::DrainPlan {
        let plan = relay::DrainPlan::new(self.now(), span);
        self.decide(|core, _| core.start_draining(plan));
        self.drain_plan.send_replace(Some(plan));
        plan
    }

    /// Returns the times of the planned stop, if one has begun.
    pub(crate) fn drain_plan(&self) -> Option<relay::DrainPlan> {
        *self.drain_plan.borrow()
    }

    /// Waits until each request that hasn't had a part of its answer has to be answered, since the
    /// process ends. Without a planned stop this never completes.
    pub async fn answers_due(&self) {
        let mut plan = self.drain_plan.subscribe();
        let begun = plan.wait_for(Option::is_some).await;
        let plan = begun.ok().and_then(|plan| *plan);
        let Some(plan) = plan else {
            return std::future::pending().await;
        };
        tokio::time::sleep(plan.answers_by.since(self.now())).await;
    }

    /// Counts what a request that arrived at `arrived` is told because this instance stops.
    pub(crate) fn count_drained(
        &self,
        outcome: drain_tally::DrainOutcome,
        arrived: clock::Timestamp,
    ) {
        if let Some(plan) = self.drain_plan() {
            self.drain_tally
                .count(outcome, arrived.since(plan.begun_at));
        }
    }

    /// Returns what callers were told because this instance stops.
    pub fn drain_summary(&self) -> drain_tally::DrainSummary {
        self.drain_tally.summary()
    }
}
