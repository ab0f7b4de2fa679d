//! Generating at a decode engine, up to the first event.

use crate::{place_guard, relay_client, stream_opener, stream_opening};

use super::prompt_step;

impl stream_opener::StreamOpener {
    /// Has the decode engine of a place generate, up to the first event.
    pub(super) async fn generate(
        &mut self,
        guard: &mut place_guard::PlaceGuard,
        prompt: &mut Option<prompt_step::ReadPrompt>,
    ) -> Result<stream_opening::OpenedStream, stream_opener::StepError> {
        if prompt.is_some() && !self.decode_retried {
            guard.rebalance_decode();
        }
        let (key, entry) = guard.place.decode.clone();
        let time_left = self.routed.time_left(self.gateway.port.now());
        let source = prompt.as_ref().map(|prompt| prompt.source.clone());
        let cache = self.warm.map(|(_, address)| address);
        let step = relay_client::RelayStep::Decode {
            cache: cache.filter(|_| source.is_none()),
            source,
            resume_after: self.last_event,
        };
        let send = self.send_to(&entry, step, time_left);
        guard.sent();
        let opening =
            stream_opening::first_event(self.gateway.client.send(&self.routed.request, send));
        let result = tokio::time::timeout(time_left, opening).await;
        let failed = match result {
            Ok(Ok(opened)) => {
                guard.first_token();
                self.counts.decodes += 1;
                self.note_run(key);
                if prompt.is_none() {
                    self.note_lost_result();
                }
                return Ok(opened);
            }
            Ok(Err(failed)) => failed,
            Err(_) => stream_opening::OpenFailure {
                outcome: relay::BackendOutcome::TimedOut,
                not_run: false,
                has_arrived: true,
                error: "no event in time".to_owned(),
                reply: None,
            },
        };
        if failed.has_arrived {
            self.counts.decodes += 1;
        }
        if !failed.not_run {
            self.note_run(key);
        }
        let now = self.gateway.port.now();
        let was_refused = failed.outcome == relay::BackendOutcome::Refused;
        self.lost_result = prompt
            .as_ref()
            .and(self.warm)
            .map(|(engine, _)| engine)
            .filter(|_| was_refused);
        let has_result = prompt.as_ref().is_some_and(|prompt| now < prompt.taken_by);
        Err(stream_opener::StepError {
            failure: relay::StepFailure::builder()
                .step(relay::StreamStep::Decode)
                .outcome(failed.outcome)
                .not_run(failed.not_run)
                .has_result(has_result)
                .fill(guard.place.fill)
                .decode_retried(self.decode_retried)
                .build(),
            server: entry.server,
            engine: key,
            error: failed.error,
            reply: failed.reply,
        })
    }

    /// Tells the core of a result that was gone: the engine that was refused it has room.
    fn note_lost_result(&mut self) {
        if let Some(engine) = self.lost_result.take() {
            self.gateway
                .port
                .decide(|core, now| core.record_lost_result(now, engine));
            self.gateway.port.usage_changed.notify_one();
        }
    }

    /// Returns whether the request may have run.
    pub(crate) const fn may_have_run(&self) -> bool {
        !self.ran_on.is_empty()
    }

    pub(super) fn ran_on_count(&self) -> u32 {
        u32::try_from(self.ran_on.len()).unwrap_or(u32::MAX)
    }

    fn note_run(&mut self, engine: relay::BackendKey) {
        if !self.ran_on.contains(&engine) {
            self.ran_on.push(engine);
        }
    }
}
