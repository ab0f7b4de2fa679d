//! Requests that crash servers.

use crate::{crash_quarantine, crash_report, refusal, relay_core, wait_queue};

use super::{core_queue, core_refusals};

impl relay_core::RelayCore {
    /// Returns the quarantine of requests that crash servers.
    #[must_use]
    pub const fn quarantine(&self) -> &crash_quarantine::CrashQuarantine {
        &self.quarantine
    }

    /// Records that a server broke off under a request; `suspects` are the segments of a prompt whose
    /// answer had not begun, or the request itself if the server has ended.
    pub fn record_crash(
        &mut self,
        now: clock::Timestamp,
        source: crash_report::CrashSource,
        suspects: &[u64],
    ) {
        self.quarantine.record_crash(now, source, suspects);
    }

    /// Records that a request with these suspects was answered.
    pub fn record_answer(&mut self, now: clock::Timestamp, suspects: &[u64]) {
        self.quarantine.record_answer(now, suspects);
    }

    /// Returns the refusal of a request with a quarantined suspect.
    #[must_use]
    pub fn quarantine_refusal(
        &self,
        now: clock::Timestamp,
        suspects: &[u64],
    ) -> Option<refusal::Refusal> {
        let remaining = self.quarantine.remaining(now, suspects)?;
        Some(core_refusals::refuse(
            refusal::RefusalReason::Quarantine,
            remaining,
        ))
    }

    /// Refuses the waiting requests with a quarantined suspect.
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
                let refusal = self.quarantine_refusal(now, &waiting.request.suspects)?;
                waiting.ticket.zip(Some(refusal))
            })
            .collect();
        for (ticket, refusal) in refused {
            self.queue.remove(ticket);
            outcomes.push((ticket, core_queue::PlacementOutcome::Refused(refusal)));
        }
    }
}
