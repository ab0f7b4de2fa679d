//! Runs the prefill step of a generation.

use std::{sync, time};

use crate::{buffered_reply, placement_guard, relay_client, run_evidence, stream_opener};

/// Prefill timeout as a multiple of the expected duration.
const PREFILL_TIMEOUT_RATIO: u32 = 3;

/// Minimum prefill timeout.
const MIN_PREFILL_TIMEOUT: time::Duration = time::Duration::from_millis(350);

/// Share of a prefill result's retention time within which the result is passed to a decode engine.
const RESULT_USE_RATIO: f64 = 0.7;

/// A prefill result that a decode engine may import.
pub(super) struct PrefillResult {
    pub(super) source: relay_client::KvSource,
    /// Time until which the result may be passed to a decode engine.
    pub(super) usable_until: clock::Timestamp,
}

impl PrefillResult {
    /// Returns whether the result may still be passed to a decode engine.
    pub(super) fn is_usable(&self, now: clock::Timestamp) -> bool {
        now < self.usable_until
    }
}

impl stream_opener::StreamOpener {
    /// Runs the prefill on the prefill engine of the placement.
    ///
    /// Returns `None` when the placement has no prefill engine.
    pub(super) async fn run_prefill(
        &mut self,
        guard: &placement_guard::PlacementGuard,
    ) -> Result<Option<PrefillResult>, stream_opener::StepError> {
        let Some(engine) = guard.placement.prefill.clone() else {
            return Ok(None);
        };
        let (key, entry) = engine.clone();
        let started = self.gateway.core.now();
        let time_left = self.routed.time_left(started);
        let timeout = (guard.placement.prefill_time * PREFILL_TIMEOUT_RATIO)
            .max(MIN_PREFILL_TIMEOUT)
            .min(time_left);
        self.record_origin(&guard.placement, &entry, true);
        let options = self.send_options(&engine, relay_client::RelayStep::Run, time_left);
        let prefill = self.gateway.client.prefill(&self.routed.request, options);
        let result = tokio::time::timeout(timeout, prefill).await;
        let now = self.gateway.core.now();
        let was_sent = !matches!(result, Ok(Err(border::BorderError::NotSent { .. })));
        let (outcome, error) = match result {
            Ok(Ok(source)) => {
                guard.record_prefill_outcome(relay::BackendOutcome::Succeeded);
                self.counts.prefills += 1;
                self.warm_prefill = Some((key, entry.clone()));
                self.trace
                    .prefill_completed(&entry.server, now.since(started));
                return Ok(Some(PrefillResult {
                    source,
                    usable_until: now + self.result_lifetime(),
                }));
            }
            Ok(Err(error)) => (buffered_reply::outcome_of(&error), error.to_string()),
            Err(_) => (
                relay::BackendOutcome::TimedOut,
                format!("prefill timed out after {} ms", timeout.as_millis()),
            ),
        };
        guard.record_prefill_outcome(outcome);
        if was_sent {
            self.counts.prefills += 1;
        }
        Err(stream_opener::StepError {
            failure: relay::StepFailure::builder()
                .step(relay::StreamStep::Prefill)
                .outcome(outcome)
                // A prefill alone doesn't run the request.
                .not_run(true)
                .build(),
            evidence: run_evidence::RunEvidence::default(),
            server: entry.server,
            engine: key,
            sent_at: Some(started),
            error,
            reply: None,
        })
    }

    /// Returns the time for which a prefill result may be passed to a decode engine.
    fn result_lifetime(&self) -> time::Duration {
        self.gateway
            .core
            .decide(|core, _| core.result_retention(&self.routed.service))
            .mul_f64(RESULT_USE_RATIO)
    }

    /// Frees a prefill result that no engine will import.
    pub(super) fn free_prefill_result(&self, result: &mut Option<PrefillResult>) {
        let now = self.gateway.core.now();
        let Some(result) = result.take().filter(|result| result.is_usable(now)) else {
            return;
        };
        let client = sync::Arc::clone(&self.gateway.client);
        tokio::spawn(async move {
            // If this fails, the engine frees the result after its retention time.
            let _freed = client.free(result.source).await;
        });
    }
}
