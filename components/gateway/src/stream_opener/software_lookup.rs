//! Binds streams to the software version of the engine that began them.

use std::time;

use crate::{decision_event, gateway, stream_opener};

/// Time for which the version of a stream is looked up while several versions serve. Other instances
/// tell of a stream before its first event, so that only late state updates are waited for.
const LOOKUP_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Time between two lookups.
const LOOKUP_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Retry delay that callers receive when the version of their stream is unknown.
const UNKNOWN_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

impl stream_opener::StreamOpener {
    /// Looks up the software version of a stream that the request takes up, and binds the stream to
    /// it.
    pub(crate) async fn bind_to_origin(&mut self) -> Result<(), relay::Refusal> {
        if !self.routed.request.takes_up_stream() {
            return Ok(());
        }
        let started = self.gateway.core.now();
        loop {
            let found = self.find_software();
            let waited = self.gateway.core.now().since(started);
            match found {
                relay::StreamSoftware::Known(software)
                | relay::StreamSoftware::Remembered(software) => {
                    self.software = Some(software);
                    self.is_resumption = true;
                }
                relay::StreamSoftware::Only(software) => self.software = Some(software),
                relay::StreamSoftware::Unprovable => {}
                relay::StreamSoftware::Unknown if waited >= LOOKUP_TIMEOUT => {}
                relay::StreamSoftware::Unknown | relay::StreamSoftware::Learning => {
                    tokio::time::sleep(LOOKUP_INTERVAL).await;
                    continue;
                }
            }
            self.log_lookup(found, waited);
            return self.software.map(|_| ()).ok_or(relay::Refusal {
                reason: relay::RefusalReason::VersionUnknown,
                retry_after: UNKNOWN_RETRY_AFTER,
            });
        }
    }

    fn find_software(&self) -> relay::StreamSoftware {
        let request = &self.routed.request;
        let stream = request.begun_by.as_deref().map(relay::stream_hash);
        let deadline = self.routed.caller_deadline();
        let found = self.gateway.core.decide(|core, now| {
            core.stream_software(
                now,
                &relay::StreamQuery {
                    service: &self.routed.service,
                    stream,
                    part: request.last_part,
                    time_left: deadline.since(now),
                },
            )
        });
        if found == relay::StreamSoftware::Learning {
            self.gateway.core.stream_sought.notify_one();
            self.gateway.core.state_changed.notify_one();
        }
        found
    }

    /// Returns the software version to which the stream, or the prompt of a new one, is bound.
    pub(super) fn bound_software(&self) -> Option<relay::SoftwareKey> {
        self.software.or_else(|| self.prompt_software())
    }

    fn prompt_software(&self) -> Option<relay::SoftwareKey> {
        let part = self.prompt_part()?;
        self.gateway
            .core
            .decide(|core, now| core.prompt_software(now, &self.routed.service, part))
    }

    /// Returns the hash of the last part of the prompt, if the caller may take the stream up.
    pub(super) fn prompt_part(&self) -> Option<u64> {
        let part = self.routed.request.last_part;
        part.filter(|_| self.routed.route.resumable)
    }

    fn log_lookup(&self, found: relay::StreamSoftware, took: time::Duration) {
        let known = self
            .gateway
            .core
            .decide(|core, now| core.versions_known_for(now));
        self.gateway
            .log
            .write(&decision_event::DecisionEvent::StreamTakenUp {
                id: &self.routed.request.id,
                begun_by: self.routed.request.begun_by.as_deref(),
                basis: found.into(),
                versions_known_ms: gateway::millis(known),
                took_ms: gateway::millis(took),
            });
    }

    /// Records the software version of the engine that is sent the request, or its prompt, and tells the
    /// other instances, where the caller may take the stream up. `to_prefill` tells whether a prefill
    /// engine is sent the prompt.
    pub(super) fn record_origin(
        &self,
        placement: &relay::StreamPlacement,
        engine: &relay::BackendEntry,
        to_prefill: bool,
    ) {
        let Some(report) = self.origin_report(placement, engine, to_prefill) else {
            return;
        };
        let is_news = self
            .gateway
            .core
            .decide(|core, now| core.record_origin(now, &report));
        if is_news {
            self.gateway.core.state_changed.notify_one();
        }
    }

    /// Records that the decode engine of a placement hasn't read the prompt, if the failure of the attempt
    /// proves it and none has before.
    pub(super) fn record_unread_prompt(
        &self,
        placement: &relay::StreamPlacement,
        failure: &relay::StepFailure,
    ) {
        let engine = &placement.decode.1;
        let report = self.origin_report(placement, engine, placement.prefill.is_some());
        let Some(report) = report.filter(|_| failure.not_run && !self.may_have_run()) else {
            return;
        };
        self.gateway
            .core
            .decide(|core, _| core.record_unread_prompt(&engine.service, &report));
    }

    /// Returns the report of the version of an engine, where the caller may take the stream up.
    fn origin_report(
        &self,
        placement: &relay::StreamPlacement,
        engine: &relay::BackendEntry,
        to_prefill: bool,
    ) -> Option<relay::OriginReport> {
        if !self.routed.route.resumable {
            return None;
        }
        let request = &self.routed.request;
        let prompt = self.prompt_part().map(|part| relay::SentPrompt {
            part,
            to_prefill,
            may_be_repeat: placement.may_be_repeat,
        });
        Some(relay::OriginReport {
            stream: relay::stream_hash(request.begun_by.as_ref().unwrap_or(&request.id)),
            software: relay::SoftwareKey::of(engine),
            remaining: self.routed.caller_deadline().since(self.gateway.core.now()),
            prompt,
        })
    }
}
