//! Reading of a prompt at a prefill engine.

use std::{sync, time};

use crate::{place_guard, relay_client, stream_opener, whole_reply};

/// Times the expected duration after which a prompt that isn't read is given up.
const PREFILL_PATIENCE_RATIO: u32 = 3;

/// Shortest time after which a prompt that isn't read is given up.
const PREFILL_PATIENCE_FLOOR: time::Duration = time::Duration::from_millis(350);

/// Part of the time a prefill result is kept in which it is given to another engine.
const RESULT_SHARE: f64 = 0.7;

/// A prefill result that a decode engine may take.
pub(super) struct ReadPrompt {
    pub(super) source: relay_client::KvSource,
    /// Latest moment at which it is given to an engine.
    pub(super) taken_by: clock::Timestamp,
}

impl stream_opener::StreamOpener {
    /// Has the prefill engine of a place read the prompt.
    pub(super) async fn read_prompt(
        &mut self,
        guard: &place_guard::PlaceGuard,
    ) -> Result<Option<ReadPrompt>, stream_opener::StepError> {
        let Some((key, entry)) = guard.place.prefill.clone() else {
            return Ok(None);
        };
        let started = self.gateway.port.now();
        let time_left = self.routed.time_left(started);
        let patience = (guard.place.prefill_time * PREFILL_PATIENCE_RATIO)
            .max(PREFILL_PATIENCE_FLOOR)
            .min(time_left);
        let send = self.send_to(&entry, relay_client::RelayStep::Run, time_left);
        let reading = self.gateway.client.prefill(&self.routed.request, send);
        let result = tokio::time::timeout(patience, reading).await;
        let now = self.gateway.port.now();
        let (outcome, error) = match result {
            Ok(Ok(source)) => {
                guard.record_prefill_outcome(relay::BackendOutcome::Succeeded);
                self.counts.prefills += 1;
                self.warm = Some((key, entry.address));
                self.trace.prompt_read(&entry.server, now.since(started));
                return Ok(Some(ReadPrompt {
                    source,
                    taken_by: now + self.result_time(),
                }));
            }
            Ok(Err(error)) => (whole_reply::outcome_of(&error), error.to_string()),
            Err(_) => (
                relay::BackendOutcome::TimedOut,
                format!("the prompt wasn't read within {} ms", patience.as_millis()),
            ),
        };
        guard.record_prefill_outcome(outcome);
        if outcome != relay::BackendOutcome::Unreachable {
            self.counts.prefills += 1;
        }
        Err(stream_opener::StepError {
            failure: relay::StepFailure::builder()
                .step(relay::StreamStep::Prefill)
                .outcome(outcome)
                // Reading a prompt doesn't run the request.
                .not_run(true)
                .build(),
            server: entry.server,
            engine: key,
            error,
            reply: None,
        })
    }

    /// Returns the time in which a prefill result may be given to an engine.
    fn result_time(&self) -> time::Duration {
        self.gateway
            .port
            .decide(|core, _| core.result_retention(&self.routed.service))
            .mul_f64(RESULT_SHARE)
    }

    /// Frees a prefill result that nobody will take.
    pub(super) fn drop_prompt(&self, prompt: &mut Option<ReadPrompt>) {
        let now = self.gateway.port.now();
        let Some(prompt) = prompt.take().filter(|prompt| now < prompt.taken_by) else {
            return;
        };
        let client = sync::Arc::clone(&self.gateway.client);
        tokio::spawn(async move {
            // The engine frees it by itself when its time is up.
            let _freed = client.free(prompt.source).await;
        });
    }
}
