//! A request that another instance serves, since this one doesn't reach the servers.
//!
//! The other instance serves it like one of its own, but never passes it on. Whatever it reports is
//! relayed. A request that it may have run isn't sent to a third instance.

use std::{net, sync, time};

use futures_util::{StreamExt as _, stream};

use crate::{buffered_reply, gateway, proxy_client, proxy_log, relay_answer, relay_client};

/// Number of instances that may decline a request or be unreachable before it is given up.
const PROXY_LIMIT: usize = 2;

/// Time without a byte of a stream after which the connection to the other instance counts as lost.
/// That instance resumes streams whose engines are silent, which takes seconds.
const STALL_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// Counts a request as served by another instance until it is dropped.
struct ProxiedCount {
    gateway: sync::Arc<gateway::Gateway>,
    proxy: net::Ipv4Addr,
}

impl ProxiedCount {
    fn begin(gateway: &sync::Arc<gateway::Gateway>, proxy: net::Ipv4Addr) -> Self {
        gateway.core.decide(|core, _| core.begin_proxied(proxy));
        Self {
            gateway: sync::Arc::clone(gateway),
            proxy,
        }
    }
}

impl Drop for ProxiedCount {
    fn drop(&mut self) {
        let proxy = self.proxy;
        self.gateway.core.decide(|core, _| core.end_proxied(proxy));
    }
}

/// A request that another instance serves.
pub(crate) struct ProxySession {
    gateway: sync::Arc<gateway::Gateway>,
    routed: gateway::RoutedRequest,
    tried: Vec<net::Ipv4Addr>,
}

impl ProxySession {
    pub(crate) const fn new(
        gateway: sync::Arc<gateway::Gateway>,
        routed: gateway::RoutedRequest,
    ) -> Self {
        Self {
            gateway,
            routed,
            tried: Vec::new(),
        }
    }

    /// Lets another instance serve the request; returns `None` when none has taken it.
    pub(crate) async fn serve(mut self) -> Option<relay_answer::RelayAnswer> {
        while self.tried.len() < PROXY_LIMIT {
            let service = &self.routed.service;
            let proxy = self
                .gateway
                .core
                .decide(|core, now| core.select_proxy(now, service, &self.tried))?;
            self.tried.push(proxy);
            let count = ProxiedCount::begin(&self.gateway, proxy);
            let mut log = proxy_log::ProxyLog::new(&self.gateway, &self.routed, proxy);
            self.routed.runs.begin();
            match self.forward(proxy).await {
                Ok(proxy_client::ProxyReply::Declined) => {
                    self.routed.runs.disprove();
                    log.declined("declined");
                }
                Err(border::BorderError::NotSent { detail }) => {
                    self.routed.runs.disprove();
                    log.declined(&detail);
                }
                Ok(proxy_client::ProxyReply::Server(reply)) => {
                    return Some(self.relay(reply, count, log).await);
                }
                Ok(proxy_client::ProxyReply::Instance {
                    answer,
                    retry_after,
                }) => {
                    if answer == relay_answer::LocalAnswer::NotRun {
                        self.routed.runs.disprove();
                    }
                    return Some(log.answer(answer, retry_after));
                }
                Err(_) => {
                    let now = self.gateway.core.now();
                    let is_late = self.routed.time_left(now).is_zero();
                    let answer = if is_late {
                        relay_answer::LocalAnswer::TimedOut
                    } else {
                        relay_answer::LocalAnswer::Unknown
                    };
                    return Some(log.answer(answer, None));
                }
            }
        }
        None
    }

    async fn forward(
        &self,
        proxy: net::Ipv4Addr,
    ) -> Result<proxy_client::ProxyReply, border::BorderError> {
        let now = self.gateway.core.now();
        let target = proxy_client::ProxyTarget {
            proxy,
            elapsed: now.since(self.routed.arrived),
            time_left: self.routed.time_left(now),
        };
        let sending = self.gateway.proxies.forward(&self.routed.request, target);
        tokio::time::timeout(target.time_left, sending)
            .await
            .unwrap_or_else(|_| Err(lost("no answer before the deadline")))
    }

    /// Relays the answer of a server: whole if it answers a call, otherwise as it arrives.
    async fn relay(
        self,
        reply: relay_client::RelayReply,
        count: ProxiedCount,
        mut log: proxy_log::ProxyLog,
    ) -> relay_answer::RelayAnswer {
        if self.routed.route.kind == relay::RequestKind::Streaming {
            log.begin_relay();
            return relay_answer::RelayAnswer::Stream {
                status: reply.status,
                headers: reply.headers,
                body: relay_body(reply.body, count, log),
            };
        }
        let time_left = self.routed.time_left(self.gateway.core.now());
        let collecting = buffered_reply::collect(reply, self.gateway.memory.share());
        match tokio::time::timeout(time_left, collecting).await {
            Ok(Ok(reply)) => {
                log.relayed(reply.status);
                relay_answer::RelayAnswer::Buffered {
                    status: reply.status,
                    headers: reply.headers,
                    body: reply.body,
                }
            }
            Ok(Err(_)) => log.answer(relay_answer::LocalAnswer::Unknown, None),
            Err(_) => log.answer(relay_answer::LocalAnswer::TimedOut, None),
        }
    }
}

/// Returns the body of a stream. It breaks off when the other instance does, or falls silent.
fn relay_body(
    body: relay_client::ReplyBody,
    count: ProxiedCount,
    log: proxy_log::ProxyLog,
) -> relay_client::ReplyBody {
    let state = Some((body, count, log));
    Box::pin(stream::unfold(state, |state| async move {
        let (mut body, count, mut log) = state?;
        let timeout = log.until_end().unwrap_or(STALL_TIMEOUT).min(STALL_TIMEOUT);
        let next = tokio::time::timeout(timeout, body.next()).await;
        let chunk = match next {
            Ok(None) => {
                log.relayed(http::StatusCode::OK);
                return None;
            }
            Ok(Some(chunk)) => chunk,
            Err(_) if log.is_over() => Err(lost("the instance ends")),
            Err(_) => Err(lost("the other instance is silent")),
        };
        match chunk {
            Ok(bytes) => Some((Ok(bytes), Some((body, count, log)))),
            Err(error) => {
                log.broken_off();
                Some((Err(error), None))
            }
        }
    }))
}

fn lost(detail: &str) -> border::BorderError {
    border::BorderError::Lost {
        detail: detail.to_owned(),
    }
}
