//! Runs the decode step of a generation, up to the first event.

use crate::{placement_guard, relay_client, run_evidence, started_stream, stream_opener};

use super::prefill_step;

impl stream_opener::StreamOpener {
    /// Sends the request to the decode engine of the placement and waits for the first event.
    pub(super) async fn generate(
        &mut self,
        guard: &mut placement_guard::PlacementGuard,
        prefill: &mut Option<prefill_step::PrefillResult>,
    ) -> Result<started_stream::StartedStream, stream_opener::StepError> {
        if prefill.is_some() && !self.decode_retried {
            // Other instances may have used the engine's capacity during the prefill.
            guard.rebalance_decode();
        }
        let engine = guard.placement.decode.clone();
        let (key, entry) = engine.clone();
        let time_left = self.routed.time_left(self.gateway.core.now());
        let source = prefill.as_ref().map(|result| result.source.clone());
        let warm_prefill = self.warm_prefill.as_ref().map(|(_, entry)| entry);
        // A KV cache fits only engines of the version that wrote it.
        let cache =
            warm_prefill.filter(|prefill| source.is_none() && prefill.software == entry.software);
        let step = relay_client::RelayStep::Decode {
            cache_address: cache.map(|prefill| prefill.address),
            source,
            resume_after: self.last_event,
        };
        let is_willing = self
            .gateway
            .core
            .decide(|core, now| core.may_receive(now, key));
        if !is_willing {
            return Err(self.unwilling(guard, prefill.as_ref()));
        }
        let options = self.send_options(&engine, step, time_left);
        self.record_origin(&guard.placement, &entry, prefill.is_some());
        guard.mark_sent();
        self.routed.runs.begin();
        let sending = self.gateway.client.send(&self.routed.request, options);
        let opening =
            started_stream::first_event(sending, self.last_event, self.gateway.memory.share());
        let result = tokio::time::timeout(time_left, opening).await;
        let failure = match result {
            Ok(Ok(stream)) => {
                guard.mark_first_token();
                self.counts.decodes += 1;
                self.record_run(key);
                self.software = Some(relay::SoftwareKey::of(&entry));
                if prefill.is_none() {
                    self.report_lost_result();
                }
                return Ok(stream);
            }
            Ok(Err(failure)) => failure,
            Err(_) => started_stream::StartFailure {
                outcome: relay::BackendOutcome::TimedOut,
                evidence: run_evidence::RunEvidence::default(),
                may_have_arrived: true,
                error: "no event within the deadline".to_owned(),
                reply: None,
            },
        };
        if failure.may_have_arrived {
            self.counts.decodes += 1;
        }
        let not_run = failure.evidence.proves_not_run();
        if not_run {
            self.routed.runs.disprove();
        } else {
            self.record_run(key);
        }
        let now = self.gateway.core.now();
        let was_refused = not_run && failure.outcome == relay::BackendOutcome::Refused;
        self.lost_result = prefill
            .as_ref()
            .and(self.warm_prefill.as_ref())
            .map(|(engine, _)| *engine)
            .filter(|_| was_refused);
        let has_result = prefill.as_ref().is_some_and(|result| result.is_usable(now));
        let may_run_again = self.routed.route.may_run_again();
        Err(stream_opener::StepError {
            failure: relay::StepFailure::builder()
                .step(relay::StreamStep::Decode)
                .outcome(failure.outcome)
                .not_run(not_run)
                .has_result(has_result)
                .fill(guard.placement.fill)
                .decode_retried(self.decode_retried)
                .build(),
            evidence: failure.evidence,
            server: entry.server,
            engine: key,
            sent_at: guard.sent_at(),
            error: failure.error,
            reply: failure
                .reply
                .filter(|reply| may_run_again || !reply.implies_not_run()),
        })
    }

    /// Returns the failure of a request that isn't sent because its decode engine has begun to drain
    /// since it was selected, or has asked to be sent nothing.
    fn unwilling(
        &self,
        guard: &placement_guard::PlacementGuard,
        prefill: Option<&prefill_step::PrefillResult>,
    ) -> stream_opener::StepError {
        let now = self.gateway.core.now();
        let (engine, entry) = guard.placement.decode.clone();
        stream_opener::StepError {
            failure: relay::StepFailure::builder()
                .step(relay::StreamStep::Decode)
                .outcome(relay::BackendOutcome::Abandoned)
                .not_run(true)
                .has_result(prefill.is_some_and(|result| result.is_usable(now)))
                .fill(guard.placement.fill)
                .decode_retried(self.decode_retried)
                .build(),
            evidence: run_evidence::RunEvidence {
                proof: Some(run_evidence::RefusalProof::Unsent),
                history: None,
            },
            server: entry.server,
            engine,
            sent_at: None,
            error: "the engine drains or has asked to be sent nothing".to_owned(),
            reply: None,
        }
    }

    /// Reports a lost prefill result to the core. A decode engine refused the request with the
    /// prefill result, and the request then succeeded without the result, so the cause of the refusal
    /// was the result and not a lack of memory.
    fn report_lost_result(&mut self) {
        if let Some(engine) = self.lost_result.take() {
            self.gateway
                .core
                .decide(|core, now| core.record_lost_result(now, engine));
            self.gateway.core.state_changed.notify_one();
        }
    }

    /// Returns whether an engine may have run the request.
    pub(crate) const fn may_have_run(&self) -> bool {
        !self.ran_on.is_empty()
    }

    /// Returns the number of decode engines that may have run the request.
    pub(super) fn run_count(&self) -> u32 {
        u32::try_from(self.ran_on.len()).unwrap_or(u32::MAX)
    }

    fn record_run(&mut self, engine: relay::BackendKey) {
        if !self.ran_on.contains(&engine) {
            self.ran_on.push(engine);
        }
    }
}
