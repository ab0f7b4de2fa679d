//! Reports of servers that broke off soon after they had been sent a request.

use std::{sync, time};

use crate::{decision_event, gateway, relay_request};

/// Time after a request was sent within which it makes a server break off, if it is the cause.
const CRASH_DELAY: time::Duration = time::Duration::from_secs(1);

/// Attempt whose connection broke.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrokenAttempt {
    /// Step of a generation; `None` for a call.
    pub(crate) engine_step: Option<relay::StreamStep>,
    /// Key of the server.
    pub(crate) key: relay::BackendKey,
    /// Time at which the request was sent.
    pub(crate) sent_at: clock::Timestamp,
}

/// Reports a broken attempt to the core, and asks whether the server has ended.
pub(crate) fn report(
    gateway: &sync::Arc<gateway::Gateway>,
    request: &relay_request::RelayRequest,
    attempt: BrokenAttempt,
) {
    let entry = gateway.core.decide(|core, _| core.entry(attempt.key));
    let Some(entry) = entry else { return };
    if attempt.engine_step == Some(relay::StreamStep::Decode) && !request.segments.is_empty() {
        let source = relay::CrashSource {
            request: request.identity.content,
            server: relay::incarnation_hash(&entry),
        };
        record(gateway, source, &request.segments);
        let name = entry.server.as_str();
        gateway
            .log
            .write(&decision_event::DecisionEvent::crash_reported(
                request, name,
            ));
    }
    let now = gateway.core.now();
    if now.since(attempt.sent_at) <= CRASH_DELAY {
        let gateway = sync::Arc::clone(gateway);
        let request = request.clone();
        tokio::spawn(async move { confirm(&gateway, &request, entry).await });
    }
}

/// Asks whether a server has ended, which makes the whole request a suspect.
async fn confirm(
    gateway: &gateway::Gateway,
    request: &relay_request::RelayRequest,
    entry: relay::BackendEntry,
) {
    if !gateway.client.has_ended(entry.address).await {
        return;
    }
    let server = relay::incarnation_hash(&entry);
    let identity = request.identity;
    for request in [identity.content, identity.by_caller] {
        record(gateway, relay::CrashSource { request, server }, &[request]);
    }
    let source = relay::CrashSource {
        request: identity.content,
        server,
    };
    record(gateway, source, &[identity.by_path]);
    let name = entry.server.as_str();
    gateway
        .log
        .write(&decision_event::DecisionEvent::server_ended(request, name));
}

fn record(gateway: &gateway::Gateway, source: relay::CrashSource, suspects: &[u64]) {
    gateway
        .core
        .decide(|core, now| core.record_crash(now, source, suspects));
    gateway.core.state_changed.notify_one();
}
