//! Calls to plain services.

use std::{sync, time};

use tracing::field;

use axum::response::IntoResponse as _;
use xxhash_rust::xxh3;

use crate::{
    body_reader, call_session, caller_guard, entry_context, entry_error, error_answer,
    generation_handler, header_filter, load_gate, outcome_answer, service_route, trace_source,
};

/// A call that the control core has been asked for.
struct PendingCall {
    request: ids::RequestId,
    end: tokio::sync::oneshot::Receiver<call_session::CallEnd>,
    guard: caller_guard::CallerGuard,
    /// Whether the caller may repeat the call under a key.
    keyed: bool,
}

/// What a checked call is sent with.
struct CheckedCall {
    workspace: sync::Arc<note::WorkspaceEntry>,
    ticket: load_gate::LoadTicket,
    route: service_route::ServiceRoute,
}

/// Answers everything that isn't the router's own path.
pub(crate) async fn call(
    axum::extract::State(context): axum::extract::State<sync::Arc<entry_context::EntryContext>>,
    request: axum::extract::Request,
) -> axum::response::Response {
    match begin(&context, request).await {
        Ok(pending) => finish(pending).await,
        Err(error) => error_answer::ErrorAnswer::from(error).into_answer(),
    }
}

async fn begin(
    context: &sync::Arc<entry_context::EntryContext>,
    request: axum::extract::Request,
) -> Result<PendingCall, entry_error::EntryError> {
    let (parts, body) = request.into_parts();
    let workspace = generation_handler::workspace_of(context, &parts.headers)?;
    let host = parts
        .headers
        .get(http::header::HOST)
        .and_then(|value| value.to_str().ok());
    let state = context.state.load_full();
    let route = service_route::ServiceRoute::find(&state, &parts.method, host, parts.uri.path())
        .ok_or(entry_error::EntryError::UnknownPath)?;
    let held = body_reader::read(context, &parts, body).await?;
    let ticket = context.gate.enter(&workspace)?;
    let checked = CheckedCall {
        workspace,
        ticket,
        route,
    };
    Ok(submit(context, &parts, checked, held))
}

fn submit(
    context: &sync::Arc<entry_context::EntryContext>,
    parts: &http::request::Parts,
    checked: CheckedCall,
    held: intake::HeldBody,
) -> PendingCall {
    let request = context.numbers.next();
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    let route = checked.route;
    let service = &route.service;
    let span = tracing::info_span!("call_request", %request, %service, outcome = field::Empty);
    let trace = trace_source::join(&span, &parts.headers, request);
    let key = claim_key(&parts.headers, &checked.workspace.name, &route.service);
    let spec = call::CallSpec::builder()
        .request(request)
        .workspace(checked.workspace.name.clone())
        .class(route.class)
        .service(route.service.clone())
        .idempotent(route.idempotent)
        .maybe_key(key)
        .maybe_key_age(key_age(&parts.headers, context.clock.wall_millis()))
        .fingerprint(fingerprint(&parts.method, target, &held.bytes))
        .priority(route.priority)
        .time_left(route.timeout)
        .build();
    let source = call_session::CallSource::builder()
        .request(request)
        .method(parts.method.clone())
        .target(target.to_owned())
        .headers(headers_for_server(&parts.headers, request))
        .body(held.bytes)
        .trace(trace)
        .span(span)
        .build();
    let (session, end) = call_session::CallSession::new(source);
    let guard = caller_guard::CallerGuard::new(
        sync::Arc::clone(context),
        request,
        checked.ticket,
        held.share,
    );
    context.book.insert_call(request, session);
    context.port.call_arrived(spec);
    PendingCall {
        request,
        end,
        guard,
        keyed: key.is_some(),
    }
}

async fn finish(mut pending: PendingCall) -> axum::response::Response {
    let end = (&mut pending.end).await;
    pending.guard.end();
    match end {
        Ok((call::CallOutcome::Answered(_), Some(reply))) => replied(pending.request, reply),
        Ok((
            call::CallOutcome::Failed {
                outcome,
                failure,
                retry_after,
            },
            _,
        )) => {
            // A call that may have run must not be invited to run again, unless a key guards it.
            let may_repeat = pending.keyed || outcome == border::Outcome::NotRun;
            let retry_after = retry_after.filter(|_| may_repeat);
            outcome_answer::call_error(outcome, failure, retry_after).into_answer()
        }
        Ok((call::CallOutcome::Answered(_), None)) | Err(_) => {
            outcome_answer::lost_error().into_answer()
        }
    }
}

fn replied(request: ids::RequestId, reply: border::CallReply) -> axum::response::Response {
    let mut headers = header_filter::passed_on(&reply.headers);
    headers.insert(
        crate::OUTCOME_HEADER,
        http::HeaderValue::from_static(border::Outcome::Ran.into()),
    );
    let number = [(crate::REQUEST_HEADER, request.to_string())];
    (reply.status, number, headers, reply.body).into_response()
}

fn headers_for_server(headers: &http::HeaderMap, request: ids::RequestId) -> http::HeaderMap {
    let mut kept = header_filter::passed_on(headers);
    if let Ok(number) = http::HeaderValue::from_str(&request.to_string()) {
        kept.insert(crate::REQUEST_HEADER, number);
    }
    kept
}

fn claim_key(
    headers: &http::HeaderMap,
    workspace: &ids::WorkspaceName,
    service: &ids::ServiceName,
) -> Option<call::ClaimKey> {
    let key = headers.get(crate::KEY_HEADER)?;
    let parts = [
        workspace.as_str().as_bytes(),
        service.as_str().as_bytes(),
        key.as_bytes(),
    ];
    Some(call::ClaimKey(hash_parts(&parts)))
}

/// Returns the age of a key that tells when it was made.
fn key_age(headers: &http::HeaderMap, wall_millis: u64) -> Option<time::Duration> {
    let key = headers.get(crate::KEY_HEADER)?.to_str().ok()?;
    call::key_age(key, wall_millis)
}

fn fingerprint(method: &http::Method, target: &str, body: &[u8]) -> u128 {
    hash_parts(&[method.as_str().as_bytes(), target.as_bytes(), body])
}

/// Hashes parts with their lengths, so that no two lists of parts run together.
fn hash_parts(parts: &[&[u8]]) -> u128 {
    let mut hasher = xxh3::Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}
