//! The list of models and the health of the instance.

use std::sync;

use crate::{entry_context, entry_error, error_answer, generation_handler};

type SharedContext = axum::extract::State<sync::Arc<entry_context::EntryContext>>;

#[derive(serde::Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelCard>,
}

#[derive(serde::Serialize)]
struct ModelCard {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

/// Answers `GET /v1/models`.
pub(crate) async fn models(
    axum::extract::State(context): SharedContext,
    headers: http::HeaderMap,
) -> Result<axum::Json<impl serde::Serialize>, error_answer::ErrorAnswer> {
    generation_handler::workspace_of(&context, &headers)?;
    let state = context.state.load();
    let data = state.models.keys().map(model_card).collect();
    Ok(axum::Json(ModelList {
        object: "list",
        data,
    }))
}

/// Answers `GET /healthz`: the process runs.
pub(crate) async fn healthy() -> &'static str {
    "ok\n"
}

/// Answers `GET /readyz`: the instance takes callers.
pub(crate) async fn ready(
    axum::extract::State(context): SharedContext,
) -> (http::StatusCode, &'static str) {
    if context.is_ready() {
        (http::StatusCode::OK, "ready\n")
    } else {
        (http::StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

/// Answers a known path with an unknown method.
pub(crate) async fn wrong_method() -> error_answer::ErrorAnswer {
    entry_error::EntryError::WrongMethod.into()
}

fn model_card(name: &ids::ModelName) -> ModelCard {
    ModelCard {
        id: name.to_string(),
        object: "model",
        created: 0,
        owned_by: "site",
    }
}
