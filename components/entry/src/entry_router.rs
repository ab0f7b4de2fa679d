//! Which handler answers which path.

use std::sync;

use axum::routing;

use crate::{call_handler, entry_context, generation_handler, site_handlers};

/// Makes the routes of the callers' side.
pub(crate) fn router(context: sync::Arc<entry_context::EntryContext>) -> axum::Router {
    axum::Router::new()
        .route(
            "/v1/chat/completions",
            routing::post(generation_handler::chat),
        )
        .route(
            "/v1/completions",
            routing::post(generation_handler::complete),
        )
        .route("/v1/models", routing::get(site_handlers::models))
        .route("/healthz", routing::get(site_handlers::healthy))
        .route("/readyz", routing::get(site_handlers::ready))
        .method_not_allowed_fallback(site_handlers::wrong_method)
        .fallback(call_handler::call)
        .with_state(context)
}
