//! Prompts with segments that crash engines.

use crate::{refusal, relay_core, segment_quarantine, wait_queue};

use super::{core_queue, core_refusals};

impl relay_core::RelayCore {
    /// Returns the quarantine of prompt segments.
    #[must_use]
    pub const fn quarantine(&self) -> &segment_quarantine::SegmentQuarantine {
        &self.quarantine
    }

    /// Records that an engine crashed before the first event of the answer to a request.
    pub fn record_crash(&mut self, now: clock::Timestamp, request: u64, segments: &[u64]) {
        self.quarantine.record_crash(now, request, segments);
    }

    /// Records that the answer to a prompt was completed.
    pub fn record_answer(&mut self, now: clock::Timestamp, segments: &[u64]) {
        self.quarantine.record_answer(now, segments);
    }

    /// Returns the refusal of a prompt with a quarantined segment.
    #[must_use]
    pub fn quarantine_refusal(
        &self,
        now: clock::Timestamp,
        segments: &[u64],
    ) -> Option<refusal::Refusal> {
        let remaining = self.quarantine.remaining(now, segments)?;
        Some(core_refusals::refuse(
            refusal::RefusalReason::Quarantine,
            remaining,
        ))
    }

    /// Refuses the waiting prompts with a quarantined segment.
    pub(super) fn refuse_quarantined(
        &mut self,
        now: clock::Timestamp,
        outcomes: &mut Vec<(wait_queue::QueueTicket, core_queue::PlacementOutcome)>,
    ) {
        if self.quarantine.is_empty() {
            return;
        }
        let refused: Vec<_> = self
            .queue
            .waiting()
            .iter()
            .filter_map(|waiting| {
                let refusal = self.quarantine_refusal(now, &waiting.request.segments)?;
                waiting.ticket.zip(Some(refusal))
            })
            .collect();
        for (ticket, refusal) in refused {
            self.queue.remove(ticket);
            outcomes.push((ticket, core_queue::PlacementOutcome::Refused(refusal)));
        }
    }
}
