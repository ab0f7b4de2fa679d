//! Records the log events and metrics of one stream.

use std::{sync, time};

use crate::{decision_event, gateway};

/// Records the log events and metrics of one stream. A trace that is dropped before
/// [`StreamTrace::ended`] records that the caller disconnected.
pub(crate) struct StreamTrace {
    gateway: sync::Arc<gateway::Gateway>,
    id: String,
    /// Id of the attempt that began the stream, if the request takes one up.
    begun_by: Option<String>,
    route: String,
    workspace: Option<ids::WorkspaceName>,
    config_version: u64,
    arrived: clock::Timestamp,
    server: Option<ids::ServerName>,
    attempts: u32,
    first_event: Option<time::Duration>,
    last_event_at: Option<clock::Timestamp>,
    longest_pause: time::Duration,
    events: u64,
    ended: bool,
}

impl StreamTrace {
    pub(crate) fn new(
        gateway: sync::Arc<gateway::Gateway>,
        routed: &gateway::RoutedRequest,
    ) -> Self {
        Self {
            gateway,
            id: routed.request.id.clone(),
            begun_by: routed.request.begun_by.clone(),
            route: routed.route.name.clone(),
            workspace: routed.workspace_name().cloned(),
            config_version: routed.config_version,
            arrived: routed.arrived,
            server: None,
            attempts: 0,
            first_event: None,
            last_event_at: None,
            longest_pause: time::Duration::ZERO,
            events: 0,
            ended: false,
        }
    }

    /// Returns whether the caller has received an event.
    pub(crate) const fn has_started(&self) -> bool {
        self.events > 0
    }

    /// Returns the time of the last event, or the arrival time before the first event.
    pub(crate) fn last_event_at(&self) -> clock::Timestamp {
        self.last_event_at.unwrap_or(self.arrived)
    }

    /// Logs a placement and records its decode engine as the server of the request.
    pub(crate) fn placed(
        &mut self,
        placement: &relay::StreamPlacement,
        attempt: u32,
        waited: time::Duration,
        size: &crate::GenerationSize,
    ) {
        let (_, decode) = &placement.decode;
        self.attempts = attempt;
        self.server = Some(decode.server.clone());
        let prefill = placement.prefill.as_ref().map(|(_, entry)| entry);
        self.gateway
            .log
            .write(&decision_event::DecisionEvent::Placed {
                id: &self.id,
                route: &self.route,
                config_version: self.config_version,
                prefill: prefill.map(|entry| entry.server.as_str()),
                decode: decode.server.as_str(),
                prefill_software: prefill.map(|entry| entry.software.as_str()),
                decode_software: decode.software.as_str(),
                begun_by: self.begun_by.as_deref(),
                prompt_tokens: size.prompt_tokens,
                output_tokens: size.output_tokens,
                expected_tokens: size.expected_tokens,
                fill: placement.fill,
                prefill_ms: gateway::millis(placement.prefill_time),
                waited_ms: gateway::millis(waited),
                attempt,
                view_age_ms: self.gateway.view_age_ms(),
            });
    }

    /// Logs a completed prefill and records its duration.
    pub(crate) fn prefill_completed(&self, prefill: &ids::ServerName, took: time::Duration) {
        self.gateway.metrics.phase("prefill", took);
        self.gateway
            .log
            .write(&decision_event::DecisionEvent::PromptRead {
                id: &self.id,
                prefill: prefill.as_str(),
                took_ms: gateway::millis(took),
            });
    }

    /// Counts an event that is sent to the caller.
    pub(crate) fn record_event(&mut self) {
        let now = self.gateway.core.now();
        match self.last_event_at {
            None => {
                let took = now.since(self.arrived);
                self.first_event = Some(took);
                self.gateway.metrics.phase("first_event", took);
            }
            Some(last) => self.longest_pause = self.longest_pause.max(now.since(last)),
        }
        self.last_event_at = Some(now);
        self.events += 1;
    }

    /// Records that another instance serves the request, which is logged apart.
    pub(crate) const fn handed_over(&mut self) {
        self.ended = true;
    }

    /// Logs and counts the completion of the request; dropping the trace then records nothing.
    pub(crate) fn ended(
        &mut self,
        outcome: &str,
        reason: Option<relay::RefusalReason>,
        status: Option<u16>,
        retry_after: Option<time::Duration>,
    ) {
        self.ended = true;
        let took = self.gateway.core.now().since(self.arrived);
        let kind: &'static str = relay::RequestKind::Streaming.into();
        let reason: Option<&'static str> = reason.map(Into::into);
        let workspace = self.workspace.as_ref();
        self.gateway.metrics.ended(kind, outcome, workspace, took);
        self.gateway.metrics.phase("pause", self.longest_pause);
        if let Some(reason) = reason {
            self.gateway.metrics.refused(reason);
        }
        self.gateway
            .log
            .write(&decision_event::DecisionEvent::Ended {
                id: &self.id,
                route: Some(&self.route),
                workspace: workspace.map(ids::WorkspaceName::as_str),
                outcome,
                reason,
                status,
                server: self.server.as_ref().map(ids::ServerName::as_str),
                attempts: self.attempts,
                took_ms: gateway::millis(took),
                first_event_ms: self.first_event.map(gateway::millis),
                longest_pause_ms: Some(gateway::millis(self.longest_pause)),
                events: Some(self.events),
                retry_after_ms: retry_after.map(gateway::millis),
            });
    }
}

impl Drop for StreamTrace {
    fn drop(&mut self) {
        if !self.ended {
            self.ended("caller_left", None, None, None);
        }
    }
}
