//! Relays requests of callers to backend servers and engines.

use std::{sync, time};

use crate::{
    call_session, decision_event, decision_log, gateway_metrics, relay_answer, relay_client,
    relay_request, shared_core, stream_session,
};

/// Retry delay that callers receive while the instance has no configuration.
const NO_CONFIG_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// A request with its route, its service and its deadline.
#[derive(Clone)]
pub(crate) struct RoutedRequest {
    pub(crate) request: relay_request::RelayRequest,
    pub(crate) route: relay::RouteRule,
    pub(crate) service: ids::ServiceName,
    pub(crate) config_version: u64,
    pub(crate) arrived: clock::Timestamp,
    /// Deadline of the request: the earlier of the caller's deadline and the route's timeout.
    pub(crate) deadline: clock::Timestamp,
}

impl RoutedRequest {
    /// Returns the time from `now` to the deadline.
    pub(crate) fn time_left(&self, now: clock::Timestamp) -> time::Duration {
        self.deadline.since(now)
    }
}

/// Relays requests of callers to backend servers and engines.
pub struct Gateway {
    pub(crate) core: sync::Arc<shared_core::SharedCore>,
    pub(crate) client: sync::Arc<dyn relay_client::RelayClient>,
    pub(crate) log: sync::Arc<decision_log::DecisionLog>,
    pub(crate) metrics: sync::Arc<gateway_metrics::GatewayMetrics>,
}

impl Gateway {
    /// Creates a gateway.
    #[must_use]
    pub const fn new(
        core: sync::Arc<shared_core::SharedCore>,
        client: sync::Arc<dyn relay_client::RelayClient>,
        log: sync::Arc<decision_log::DecisionLog>,
        metrics: sync::Arc<gateway_metrics::GatewayMetrics>,
    ) -> Self {
        Self {
            core,
            client,
            log,
            metrics,
        }
    }

    /// Relays a request that arrived at `arrived`.
    ///
    /// Dropping the future or the answer's body cancels the request.
    pub async fn serve(
        self: &sync::Arc<Self>,
        request: relay_request::RelayRequest,
        arrived: clock::Timestamp,
    ) -> relay_answer::RelayAnswer {
        let matched = self
            .core
            .decide(|core, now| core.route(now, request.host_name(), request.path()));
        match matched {
            relay::RouteMatch::NoConfig => self.refuse_unrouted(
                &request.id,
                arrived,
                relay_answer::LocalAnswer::NotRun,
                Some(NO_CONFIG_RETRY_AFTER),
            ),
            relay::RouteMatch::NoRoute { .. } => self.refuse_unrouted(
                &request.id,
                arrived,
                relay_answer::LocalAnswer::NoRoute,
                None,
            ),
            relay::RouteMatch::Found {
                version,
                route,
                service,
            } => {
                let timeout = request.time_left.min(route.timeout);
                let routed = RoutedRequest {
                    deadline: arrived + timeout,
                    request,
                    route,
                    service,
                    config_version: version,
                    arrived,
                };
                self.serve_routed(routed).await
            }
        }
    }

    async fn serve_routed(
        self: &sync::Arc<Self>,
        routed: RoutedRequest,
    ) -> relay_answer::RelayAnswer {
        let is_streaming = routed.route.kind == relay::RequestKind::Streaming;
        let gateway = sync::Arc::clone(self);
        match routed.request.size.clone().filter(|_| is_streaming) {
            Some(size) => {
                stream_session::StreamSession::new(gateway, routed, size)
                    .serve()
                    .await
            }
            None => {
                call_session::CallSession::new(gateway, routed)
                    .serve()
                    .await
            }
        }
    }

    /// Logs, counts and answers a request that is invalid or has no route.
    pub fn refuse_unrouted(
        &self,
        id: &str,
        arrived: clock::Timestamp,
        answer: relay_answer::LocalAnswer,
        retry_after: Option<time::Duration>,
    ) -> relay_answer::RelayAnswer {
        self.log.write(&decision_event::DecisionEvent::Ended {
            id,
            route: None,
            outcome: answer.into(),
            reason: (answer == relay_answer::LocalAnswer::NotRun)
                .then(|| relay::RefusalReason::NoConfig.into()),
            status: Some(answer.status().as_u16()),
            server: None,
            attempts: 0,
            took_ms: millis(self.core.now().since(arrived)),
            first_event_ms: None,
            longest_pause_ms: None,
            events: None,
            retry_after_ms: retry_after.map(millis),
        });
        self.metrics
            .ended("none", answer.into(), self.core.now().since(arrived));
        relay_answer::RelayAnswer::Local {
            answer,
            retry_after,
        }
    }

    /// Returns the age of the view of the platform in milliseconds, or `None` without a view.
    pub(crate) fn view_age_ms(&self) -> Option<u64> {
        self.core
            .decide(|core, now| core.tracker().age(now))
            .map(millis)
    }

    /// Logs that a server was ejected after the request `id`.
    pub(crate) fn log_ejection(&self, server: &str, id: &str, outcome: relay::BackendOutcome) {
        self.log
            .write(&decision_event::DecisionEvent::ServerEjected {
                server,
                id,
                outcome: outcome.into(),
            });
    }
}

/// Returns a duration in whole milliseconds.
pub(crate) fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
