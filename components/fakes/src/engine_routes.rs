//! The engine protocol of a stand-in engine.

use std::{net, sync};

use axum::{response::IntoResponse as _, routing};
use futures_util::stream;
use tokio::sync::watch;

use crate::{answer_plan, engine_fleet, engine_model, token_record};

/// What the handlers of one engine use.
#[derive(Clone)]
struct EngineContext {
    fleet: sync::Arc<engine_fleet::EngineFleet>,
    engine: net::SocketAddr,
}

type SharedContext = axum::extract::State<EngineContext>;
type Refusal = (http::StatusCode, String);

/// Names an attempt of a request.
#[derive(serde::Deserialize)]
struct AttemptName {
    request: ids::RequestId,
    attempt: ids::AttemptNumber,
}

#[derive(serde::Deserialize)]
struct AfterQuery {
    after: u64,
}

/// Makes the routes of an engine.
pub(crate) fn router(
    fleet: sync::Arc<engine_fleet::EngineFleet>,
    engine: net::SocketAddr,
) -> axum::Router {
    axum::Router::new()
        .route("/engine/prefill", routing::post(prefill))
        .route("/engine/import", routing::post(import))
        .route("/engine/decode", routing::post(decode))
        .route("/engine/cancel", routing::post(cancel))
        .route("/engine/order", routing::post(order))
        .route("/engine/running", routing::get(running))
        .route("/engine/load", routing::get(load))
        .route("/engine/cache_events", routing::get(cache_events))
        .route("/engine/status", routing::get(status))
        .layer(axum::extract::DefaultBodyLimit::disable())
        .with_state(EngineContext { fleet, engine })
}

async fn prefill(
    axum::extract::State(context): SharedContext,
    axum::Json(job): axum::Json<border::PrefillJob>,
) -> Result<axum::Json<border::PrefillResult>, Refusal> {
    let waiting = context
        .fleet
        .prefill(context.engine, &job)
        .map_err(refusal)?;
    waiting.await.map(axum::Json).map_err(|_| gone())
}

async fn import(
    axum::extract::State(context): SharedContext,
    axum::Json(job): axum::Json<border::TransferJob>,
) -> Result<axum::Json<()>, Refusal> {
    let waiting = context
        .fleet
        .import(context.engine, &job)
        .map_err(refusal)?;
    waiting.await.map(axum::Json).map_err(|_| gone())
}

async fn decode(
    axum::extract::State(context): SharedContext,
    axum::Json(job): axum::Json<border::DecodeJob>,
) -> Result<axum::response::Response, Refusal> {
    let (plan, counts) = context
        .fleet
        .decode(context.engine, &job)
        .map_err(refusal)?;
    let tokens = TokenFeed {
        next: job.offset,
        job,
        plan,
        counts,
    };
    let body = axum::body::Body::from_stream(stream::unfold(Some(tokens), next_line));
    let content_type = [(http::header::CONTENT_TYPE, "application/x-ndjson")];
    Ok((content_type, body).into_response())
}

async fn cancel(
    axum::extract::State(context): SharedContext,
    axum::Json(name): axum::Json<AttemptName>,
) -> axum::Json<()> {
    let AttemptName { request, attempt } = name;
    context.fleet.cancel(context.engine, request, attempt);
    axum::Json(())
}

async fn order(
    axum::extract::State(context): SharedContext,
    axum::Json(order): axum::Json<border::EngineOrder>,
) -> Result<axum::Json<border::OrderAnswer>, Refusal> {
    let answer = context.fleet.order(context.engine, order);
    answer.map(axum::Json).map_err(refusal)
}

async fn running(
    axum::extract::State(context): SharedContext,
) -> Result<axum::Json<Vec<border::RunningEntry>>, Refusal> {
    let list = context
        .fleet
        .read(context.engine, |slot, now| slot.model.running(now));
    list.map(axum::Json).map_err(refusal)
}

async fn load(
    axum::extract::State(context): SharedContext,
) -> Result<axum::Json<border::LoadReport>, Refusal> {
    let report = context
        .fleet
        .read(context.engine, |slot, now| slot.model.load(now));
    report.map(axum::Json).map_err(refusal)
}

async fn cache_events(
    axum::extract::State(context): SharedContext,
    axum::extract::Query(query): axum::extract::Query<AfterQuery>,
) -> Result<axum::Json<Vec<border::CacheEvent>>, Refusal> {
    let events = context.fleet.read(context.engine, |slot, now| {
        slot.model.cache_events(now, query.after)
    });
    events.map(axum::Json).map_err(refusal)
}

async fn status(
    axum::extract::State(context): SharedContext,
) -> Result<axum::Json<border::EngineStatus>, Refusal> {
    let status = context.fleet.read(context.engine, |slot, _| slot.status());
    status.map(axum::Json).map_err(refusal)
}

/// The tokens of an attempt on their way to one reader.
struct TokenFeed {
    next: u32,
    job: border::DecodeJob,
    plan: answer_plan::AnswerPlan,
    counts: watch::Receiver<token_record::TokenCount>,
}

type LineResult = Result<bytes::Bytes, std::io::Error>;

async fn next_line(feed: Option<TokenFeed>) -> Option<(LineResult, Option<TokenFeed>)> {
    let mut feed = feed?;
    let next = feed.next;
    let waited = feed
        .counts
        .wait_for(|count| count.end > next || count.finish.is_some());
    let Ok(count) = waited.await.map(|count| *count) else {
        let error = std::io::Error::other("the attempt was cancelled");
        return Some((Err(error), None));
    };
    if next >= count.end {
        return None;
    }
    let is_last = next + 1 == count.end;
    let token = border::TokenEvent {
        request: feed.job.request,
        attempt: feed.job.attempt,
        offset: next,
        text: feed.plan.token(next),
        finish: count.finish.filter(|_| is_last),
    };
    let mut line = serde_json::to_vec(&token).unwrap_or_default();
    line.push(b'\n');
    feed.next += 1;
    let rest = token.finish.is_none().then_some(feed);
    Some((Ok(line.into()), rest))
}

fn refusal(error: engine_model::ModelError) -> Refusal {
    let status = match error {
        engine_model::ModelError::NoRoom | engine_model::ModelError::WrongRole => {
            http::StatusCode::SERVICE_UNAVAILABLE
        }
        engine_model::ModelError::Repeated => http::StatusCode::CONFLICT,
        engine_model::ModelError::Gone => http::StatusCode::GONE,
    };
    (status, error.to_string())
}

fn gone() -> Refusal {
    refusal(engine_model::ModelError::Gone)
}
