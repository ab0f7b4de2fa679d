//! Model requests.

use std::sync;

use tracing::field;

use crate::{
    answer_session, answer_stream, body_reader, caller_guard, chat_request, completion_request,
    entry_context, entry_error, error_answer, generation_query, load_gate, outcome_answer,
    trace_source, whole_answer,
};

type SharedContext = axum::extract::State<sync::Arc<entry_context::EntryContext>>;

/// What a checked request is to be sent as.
struct CheckedRequest {
    class: sync::Arc<note::RequestClass>,
    priority: u8,
    model: ids::ModelName,
    adapter: Option<ids::AdapterName>,
    prompt_tokens: u32,
    max_tokens: u32,
}

/// Answers `POST /v1/chat/completions`.
pub(crate) async fn chat(
    axum::extract::State(context): SharedContext,
    request: axum::extract::Request,
) -> axum::response::Response {
    let read = |body: &[u8]| parse::<chat_request::ChatRequest>(body)?.into_query();
    answer(context, request, read).await
}

/// Answers `POST /v1/completions`.
pub(crate) async fn complete(
    axum::extract::State(context): SharedContext,
    request: axum::extract::Request,
) -> axum::response::Response {
    let read = |body: &[u8]| parse::<completion_request::CompletionRequest>(body)?.into_query();
    answer(context, request, read).await
}

async fn answer(
    context: sync::Arc<entry_context::EntryContext>,
    request: axum::extract::Request,
    read: impl Fn(&[u8]) -> Result<generation_query::GenerationQuery, entry_error::EntryError>,
) -> axum::response::Response {
    match begin(&context, request, read).await {
        Ok((answer, query)) if query.stream => answer_stream::respond(answer, &query).await,
        Ok((answer, query)) => whole_answer::respond(answer, &query).await,
        Err(error) => error_answer::ErrorAnswer::from(error).into_answer(),
    }
}

/// An answer that the control core has been asked for.
pub(crate) struct PendingAnswer {
    pub(crate) request: ids::RequestId,
    pub(crate) receiver: answer_session::AnswerReceiver,
    pub(crate) guard: caller_guard::CallerGuard,
    pub(crate) model: ids::ModelName,
    pub(crate) prompt_tokens: u32,
    pub(crate) created_seconds: u64,
}

impl PendingAnswer {
    /// Returns the next token, or how the answer ended.
    pub(crate) async fn next(
        &mut self,
    ) -> Result<crate::TokenPiece, Option<error_answer::ErrorAnswer>> {
        tokio::select! {
            biased;
            Some(piece) = self.receiver.tokens.recv() => Ok(piece),
            end = &mut self.receiver.end => {
                if let Ok(piece) = self.receiver.tokens.try_recv() {
                    self.receiver.end = ended(end);
                    return Ok(piece);
                }
                Err(self.end(end.ok()))
            }
        }
    }

    fn end(&mut self, outcome: Option<flow::FlowOutcome>) -> Option<error_answer::ErrorAnswer> {
        self.guard.end();
        match outcome {
            Some(outcome) => outcome_answer::flow_error(&outcome),
            None => Some(outcome_answer::lost_error()),
        }
    }
}

/// Puts an outcome back until the tokens before it have been passed on.
fn ended<Failure>(
    end: Result<flow::FlowOutcome, Failure>,
) -> tokio::sync::oneshot::Receiver<flow::FlowOutcome> {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    if let Ok(outcome) = end {
        // The receiver is returned, so that sending can't fail.
        let _ = sender.send(outcome);
    }
    receiver
}

async fn begin(
    context: &sync::Arc<entry_context::EntryContext>,
    request: axum::extract::Request,
    read: impl Fn(&[u8]) -> Result<generation_query::GenerationQuery, entry_error::EntryError>,
) -> Result<(PendingAnswer, generation_query::GenerationQuery), entry_error::EntryError> {
    let (parts, body) = request.into_parts();
    let workspace = workspace_of(context, &parts.headers)?;
    let held = body_reader::read(context, &parts, body).await?;
    let ticket = context.gate.enter(&workspace)?;
    let mut query = read(&held.bytes)?;
    let checked = check(context, &parts.headers, &query)?;
    let prompt = std::mem::take(&mut query.prompt);
    let pending = submit(
        context,
        &parts.headers,
        (workspace, ticket, held.share),
        checked,
        prompt,
    );
    Ok((pending, query))
}

fn submit(
    context: &sync::Arc<entry_context::EntryContext>,
    headers: &http::HeaderMap,
    (workspace, ticket, share): (
        sync::Arc<note::WorkspaceEntry>,
        load_gate::LoadTicket,
        intake::RequestShare,
    ),
    checked: CheckedRequest,
    prompt: String,
) -> PendingAnswer {
    let request = context.numbers.next();
    let class = &checked.class.name;
    let span = tracing::info_span!("request", %request, %class, outcome = field::Empty);
    let trace = trace_source::join(&span, headers, request);
    let spec = flow::FlowSpec::builder()
        .request(request)
        .workspace(workspace.name.clone())
        .class(checked.class.name.clone())
        .model(checked.model.clone())
        .maybe_adapter(checked.adapter.clone())
        .prompt_tokens(checked.prompt_tokens)
        .max_tokens(checked.max_tokens)
        .prefix_blocks(border::prefix_blocks(&prompt))
        .build();
    let source = answer_session::AnswerSource::builder()
        .request(request)
        .model(checked.model.clone())
        .maybe_adapter(checked.adapter)
        .prompt(prompt)
        .priority(checked.priority)
        .trace(trace)
        .span(span)
        .build();
    let (session, receiver) = answer_session::AnswerSession::new(source);
    let guard = caller_guard::CallerGuard::new(sync::Arc::clone(context), request, ticket, share);
    context.book.insert_answer(session);
    context.port.request_arrived(spec);
    PendingAnswer {
        request,
        receiver,
        guard,
        model: checked.model,
        prompt_tokens: checked.prompt_tokens,
        created_seconds: context.clock.wall_millis() / 1_000,
    }
}

/// Returns the workspace that the request's header names.
pub(crate) fn workspace_of(
    context: &entry_context::EntryContext,
    headers: &http::HeaderMap,
) -> Result<sync::Arc<note::WorkspaceEntry>, entry_error::EntryError> {
    if !context.is_ready() {
        return Err(entry_error::EntryError::NotReady);
    }
    let name = headers
        .get(context.workspace_header.as_str())
        .and_then(|value| value.to_str().ok())
        .ok_or(entry_error::EntryError::UnknownWorkspace)?;
    let state = context.state.load();
    state
        .workspaces
        .get(&ids::WorkspaceName::from(name))
        .cloned()
        .ok_or(entry_error::EntryError::UnknownWorkspace)
}

fn check(
    context: &entry_context::EntryContext,
    headers: &http::HeaderMap,
    query: &generation_query::GenerationQuery,
) -> Result<CheckedRequest, entry_error::EntryError> {
    let state = context.state.load();
    let (model, adapter) = served_model(&state, query)?;
    let class = class_of(&state, headers, &model)?;
    let note::ClassTarget::Generation(generation) = &class.target else {
        return Err(entry_error::EntryError::NoClass);
    };
    let prompt_tokens = border::token_estimate(&query.prompt);
    if prompt_tokens == 0 || prompt_tokens > context.limits.prompt_tokens {
        let expected = format!("between 1 and {} tokens long", context.limits.prompt_tokens);
        return Err(chat_request::out_of_range("prompt", expected));
    }
    let most = generation
        .output_limit_tokens
        .min(context.limits.max_tokens);
    let max_tokens = query.max_tokens.unwrap_or(most);
    if max_tokens == 0 || max_tokens > most {
        let expected = format!("between 1 and {most}");
        return Err(chat_request::out_of_range("max_tokens", expected));
    }
    let priority = generation.priority;
    Ok(CheckedRequest {
        class,
        priority,
        model,
        adapter,
        prompt_tokens,
        max_tokens,
    })
}

fn served_model(
    state: &note::StateInForce,
    query: &generation_query::GenerationQuery,
) -> Result<(ids::ModelName, Option<ids::AdapterName>), entry_error::EntryError> {
    let unknown = || entry_error::EntryError::UnknownModel(query.model.chars().take(80).collect());
    let name = ids::ModelName::from(query.model.as_str());
    let model = state.models.get(&name).ok_or_else(unknown)?;
    let adapter = query.adapter.as_deref().map(ids::AdapterName::from);
    match &adapter {
        Some(adapter) if !model.adapters.contains(adapter) => Err(unknown()),
        _ => Ok((name, adapter)),
    }
}

fn class_of(
    state: &note::StateInForce,
    headers: &http::HeaderMap,
    model: &ids::ModelName,
) -> Result<sync::Arc<note::RequestClass>, entry_error::EntryError> {
    let wanted = headers
        .get(crate::CLASS_HEADER)
        .map(|value| value.to_str().unwrap_or_default());
    state
        .classes
        .values()
        .filter(|class| wanted.is_none_or(|wanted| class.name.as_str() == wanted))
        .find(|class| match &class.target {
            note::ClassTarget::Generation(generation) => generation.models.contains(model),
            note::ClassTarget::Call(_) => false,
        })
        .cloned()
        .ok_or(entry_error::EntryError::NoClass)
}

fn parse<Body: serde::de::DeserializeOwned>(body: &[u8]) -> Result<Body, entry_error::EntryError> {
    serde_json::from_slice(body)
        .map_err(|error| entry_error::EntryError::BadBody(error.to_string()))
}
