//! Relays requests of callers to backend servers and engines.

use std::{sync, time};

use crate::{
    call_session, core_port, decision_event, decision_log, gateway_metrics, relay_answer,
    relay_client, relay_request, stream_session,
};

/// Time after which a caller may come back while no configuration is known.
const NO_CONFIG_RETRY: time::Duration = time::Duration::from_millis(500);

/// A request with what was decided about it on arrival.
#[derive(Clone)]
pub(crate) struct RoutedRequest {
    pub(crate) request: relay_request::RelayRequest,
    pub(crate) route: relay::RouteRule,
    pub(crate) service: ids::ServiceName,
    pub(crate) config_version: u64,
    pub(crate) arrived: clock::Timestamp,
    /// Latest moment at which the caller, or the route, lets it wait.
    pub(crate) deadline: clock::Timestamp,
}

impl RoutedRequest {
    /// Returns the time that is left at `now`.
    pub(crate) fn time_left(&self, now: clock::Timestamp) -> time::Duration {
        self.deadline.since(now)
    }
}

/// Relays requests of callers to backend servers and engines.
pub struct Gateway {
    pub(crate) port: sync::Arc<core_port::CorePort>,
    pub(crate) client: sync::Arc<dyn relay_client::RelayClient>,
    pub(crate) log: sync::Arc<decision_log::DecisionLog>,
    pub(crate) metrics: sync::Arc<gateway_metrics::GatewayMetrics>,
}

impl Gateway {
    /// Makes a gateway.
    #[must_use]
    pub const fn new(
        port: sync::Arc<core_port::CorePort>,
        client: sync::Arc<dyn relay_client::RelayClient>,
        log: sync::Arc<decision_log::DecisionLog>,
        metrics: sync::Arc<gateway_metrics::GatewayMetrics>,
    ) -> Self {
        Self {
            port,
            client,
            log,
            metrics,
        }
    }

    /// Relays a request that arrived at `arrived`; dropping the future or the answer's body cancels
    /// it.
    pub async fn serve(
        self: &sync::Arc<Self>,
        request: relay_request::RelayRequest,
        arrived: clock::Timestamp,
    ) -> relay_answer::RelayAnswer {
        let found = self
            .port
            .decide(|core, now| core.route(now, request.host_name(), request.path()));
        match found {
            relay::RouteMatch::NoConfig => self.refuse_unrouted(
                &request.id,
                arrived,
                relay_answer::OwnAnswer::NotRun,
                Some(NO_CONFIG_RETRY),
            ),
            relay::RouteMatch::NoRoute { .. } => {
                self.refuse_unrouted(&request.id, arrived, relay_answer::OwnAnswer::NoRoute, None)
            }
            relay::RouteMatch::Found {
                version,
                route,
                service,
            } => {
                let longest = request.time_left.min(route.timeout);
                let routed = RoutedRequest {
                    deadline: arrived + longest,
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
        let streams = routed.route.kind == relay::RequestKind::Streaming;
        let gateway = sync::Arc::clone(self);
        match routed.request.size.clone().filter(|_| streams) {
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

    /// Answers a request without a route.
    pub fn refuse_unrouted(
        &self,
        id: &str,
        arrived: clock::Timestamp,
        answer: relay_answer::OwnAnswer,
        retry_after: Option<time::Duration>,
    ) -> relay_answer::RelayAnswer {
        self.log.write(&decision_event::DecisionEvent::Ended {
            id,
            route: None,
            outcome: answer.into(),
            reason: (answer == relay_answer::OwnAnswer::NotRun)
                .then(|| relay::RefusalReason::NoConfig.into()),
            status: Some(answer.status().as_u16()),
            server: None,
            attempts: 0,
            took_ms: millis(self.port.now().since(arrived)),
            first_event_ms: None,
            longest_pause_ms: None,
            events: None,
            retry_after_ms: retry_after.map(millis),
        });
        self.metrics
            .ended("none", answer.into(), self.port.now().since(arrived));
        relay_answer::RelayAnswer::Own {
            answer,
            retry_after,
        }
    }

    /// Returns the age of the view of the platform in milliseconds.
    pub(crate) fn view_age_ms(&self) -> Option<u64> {
        self.port
            .decide(|core, now| core.tracker().age(now))
            .map(millis)
    }

    /// Logs that a server was ejected.
    pub(crate) fn log_ejection(&self, server: &str, id: &str, outcome: relay::BackendOutcome) {
        self.log
            .write(&decision_event::DecisionEvent::ServerEjected {
                server,
                id,
                outcome: outcome.into(),
            });
    }
}

/// Returns a time in whole milliseconds.
pub(crate) fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
