//! Relays requests of callers to backend servers and engines.

use std::{sync, time};

use futures_util::StreamExt as _;

use crate::{
    call_session, decision_event, decision_log, gateway_metrics, proxy_client, proxy_session,
    relay_answer, relay_client, relay_request, run_record, shared_core, stream_session,
    workspace_charge,
};

/// Retry delay that callers receive while the instance has no configuration.
const NO_CONFIG_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// Requests that are served for other instances at the same time, so that they leave the memory and the
/// processor to the own callers.
const MAX_PROXIED_REQUESTS: usize = 128;

/// Servers that a request finds unreachable before another instance serves it.
const UNREACHABLE_LIMIT: u32 = 2;

/// A request with its route, its service and its deadline.
#[derive(Clone)]
pub(crate) struct RoutedRequest {
    pub(crate) request: relay_request::RelayRequest,
    pub(crate) route: relay::RouteRule,
    pub(crate) service: ids::ServiceName,
    /// Workspace that holds the key of the request; `None` for a request without one.
    pub(crate) workspace: Option<sync::Arc<workspace::WorkspaceRule>>,
    /// What the request has drawn on the limit of its workspace.
    pub(crate) charge: Option<sync::Arc<workspace_charge::ChargeGuard>>,
    /// Whether the request may have run.
    pub(crate) runs: sync::Arc<run_record::RunRecord>,
    pub(crate) config_version: u64,
    pub(crate) arrived: clock::Timestamp,
    /// Whether the request is served for another instance, so that it isn't passed on.
    pub(crate) is_proxied: bool,
    /// Deadline of the request: the earlier of the caller's deadline and the route's timeout.
    pub(crate) deadline: clock::Timestamp,
}

impl RoutedRequest {
    /// Returns the time from `now` to the deadline.
    pub(crate) fn time_left(&self, now: clock::Timestamp) -> time::Duration {
        self.deadline.since(now)
    }

    /// Returns the caller's deadline, whatever the route's timeout.
    pub(crate) fn caller_deadline(&self) -> clock::Timestamp {
        self.arrived + self.request.time_left
    }

    /// Returns the name of the workspace of the request.
    pub(crate) fn workspace_name(&self) -> Option<&ids::WorkspaceName> {
        self.workspace.as_ref().map(|workspace| &workspace.name)
    }

    /// Returns the key of the workspace, the default one without a workspace.
    pub(crate) fn workspace_key(&self) -> relay::WorkspaceKey {
        let workspace = self.workspace.as_ref();
        workspace.map_or_else(relay::WorkspaceKey::default, |workspace| {
            relay::WorkspaceKey::of(&workspace.name)
        })
    }

    /// Returns the priority of the request: that of its workspace, or else that of its route.
    pub(crate) fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref();
        workspace
            .and_then(|workspace| workspace.priority)
            .unwrap_or(self.route.priority)
    }
}

/// Relays requests of callers to backend servers and engines.
#[derive(bon::Builder)]
pub struct Gateway {
    pub(crate) core: sync::Arc<shared_core::SharedCore>,
    pub(crate) client: sync::Arc<dyn relay_client::RelayClient>,
    /// Sends requests to other instances while this one doesn't reach the servers.
    pub(crate) proxies: sync::Arc<dyn proxy_client::ProxyClient>,
    pub(crate) log: sync::Arc<decision_log::DecisionLog>,
    pub(crate) metrics: sync::Arc<gateway_metrics::GatewayMetrics>,
    /// Memory for large answers.
    #[builder(default)]
    pub(crate) memory: sync::Arc<client::AnswerMemory>,
    /// Requests that may still be served for other instances at the same time.
    #[builder(default = sync::Arc::new(tokio::sync::Semaphore::new(MAX_PROXIED_REQUESTS)))]
    proxied_slots: sync::Arc<tokio::sync::Semaphore>,
}

impl Gateway {
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
            .decide(|core, now| core.route(now, request.host_name(), request.path(), request.key));
        match matched {
            relay::RouteMatch::NoConfig => self.refuse_unrouted(
                &request.id,
                arrived,
                relay_answer::LocalAnswer::NotRun,
                Some(NO_CONFIG_RETRY_AFTER),
            ),
            relay::RouteMatch::KeyRefused {
                version,
                route,
                refusal,
            } => self.refuse_key(&request, arrived, &route, version, refusal),
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
                admission,
            } => {
                let timeout = request.time_left.min(route.timeout);
                let mut routed = RoutedRequest {
                    deadline: arrived + timeout,
                    workspace: admission.workspace().cloned(),
                    request: request.admitted(admission),
                    route,
                    service,
                    charge: None,
                    runs: sync::Arc::default(),
                    config_version: version,
                    arrived,
                    is_proxied: false,
                };
                match self.charge(&mut routed) {
                    Some(refusal) => refusal,
                    None => self.serve_routed(routed).await,
                }
            }
        }
    }

    /// Serves a request of another instance that doesn't reach the servers; `arrived` is the time of
    /// its arrival there. Returns `None`, without having run it, if this instance can't help: it has
    /// no configuration with such a route, doesn't admit the request, drains, serves too many such
    /// requests, or doesn't reach the servers either.
    pub async fn serve_for_peer(
        self: &sync::Arc<Self>,
        request: relay_request::RelayRequest,
        arrived: clock::Timestamp,
    ) -> Option<relay_answer::RelayAnswer> {
        let slots = sync::Arc::clone(&self.proxied_slots);
        let slot = slots.try_acquire_owned().ok()?;
        // An instance of an earlier release passes the key itself on, and charges nothing.
        let is_charged = request.has_passed_digest();
        let mut routed = self.core.decide(|core, now| {
            let (host, path) = (request.host_name(), request.path());
            let matched = core.route_for_peer(now, host, path, request.key);
            let relay::RouteMatch::Found {
                version,
                route,
                service,
                admission,
            } = matched
            else {
                return None;
            };
            // The other instance has judged the key by a configuration that this one lacks.
            let is_judged_elsewhere = is_charged && admission == relay::Admission::NotNeeded;
            let can_serve =
                core.is_ready() && !is_judged_elsewhere && !core.is_out_of_reach(now, &service);
            can_serve.then(|| RoutedRequest {
                deadline: arrived + request.time_left.min(route.timeout),
                workspace: admission.workspace().cloned(),
                request: request.admitted(admission),
                route,
                service,
                charge: None,
                runs: sync::Arc::default(),
                config_version: version,
                arrived,
                is_proxied: true,
            })
        })?;
        if !is_charged && let Some(refusal) = self.charge(&mut routed) {
            return Some(refusal);
        }
        self.metrics.proxied("served");
        let answer = self.serve_routed(routed).await;
        Some(hold_slot(answer, slot))
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

    /// Returns whether another instance should serve a request, after `unreachable` servers were tried
    /// in vain.
    pub(crate) fn prefers_proxy(&self, routed: &RoutedRequest, unreachable: u32) -> bool {
        let service = &routed.service;
        !routed.is_proxied
            && self.core.decide(|core, now| {
                let is_lost =
                    unreachable >= UNREACHABLE_LIMIT || core.is_out_of_reach(now, service);
                is_lost && core.has_proxy(now, service)
            })
    }

    /// Lets another instance serve a request; returns `None` when none has taken it.
    pub(crate) async fn proxy(
        self: &sync::Arc<Self>,
        routed: &RoutedRequest,
    ) -> Option<relay_answer::RelayAnswer> {
        let gateway = sync::Arc::clone(self);
        proxy_session::ProxySession::new(gateway, routed.clone())
            .serve()
            .await
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

/// Keeps a slot until the answer's body is dropped.
fn hold_slot(
    answer: relay_answer::RelayAnswer,
    slot: tokio::sync::OwnedSemaphorePermit,
) -> relay_answer::RelayAnswer {
    match answer {
        relay_answer::RelayAnswer::Stream {
            status,
            headers,
            body,
        } => {
            let body = body.map(move |chunk| {
                let _held = &slot;
                chunk
            });
            relay_answer::RelayAnswer::Stream {
                status,
                headers,
                body: Box::pin(body),
            }
        }
        answer => answer,
    }
}

/// Returns a duration in whole milliseconds.
pub(crate) fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
