//! The border to the model engines.

use std::net;

use futures_util::stream;

use crate::{
    border_error, cache_event, decode_job, engine_order, engine_status, load_report, order_answer,
    prefill_job, prefill_result, running_entry, token_event, transfer_job,
};

/// Tokens as they arrive from an engine.
pub type TokenStream =
    stream::BoxStream<'static, Result<token_event::TokenEvent, border_error::BorderError>>;

/// Speaks to model engines by address.
#[async_trait::async_trait]
pub trait EngineClient: Send + Sync {
    /// Reads a prompt into a KV cache.
    async fn prefill(
        &self,
        engine: net::SocketAddr,
        job: prefill_job::PrefillJob,
    ) -> Result<prefill_result::PrefillResult, border_error::BorderError>;

    /// Imports a KV cache into `engine`; returns when it is there.
    async fn import(
        &self,
        engine: net::SocketAddr,
        job: transfer_job::TransferJob,
    ) -> Result<(), border_error::BorderError>;

    /// Starts or resumes the stream of tokens.
    async fn decode(
        &self,
        engine: net::SocketAddr,
        job: decode_job::DecodeJob,
    ) -> Result<TokenStream, border_error::BorderError>;

    /// Ends all work for an attempt of a request and frees its memory.
    async fn cancel(
        &self,
        engine: net::SocketAddr,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
    ) -> Result<(), border_error::BorderError>;

    /// Lists the requests the engine holds.
    async fn running(
        &self,
        engine: net::SocketAddr,
    ) -> Result<Vec<running_entry::RunningEntry>, border_error::BorderError>;

    /// Reads the latest load report.
    async fn load(
        &self,
        engine: net::SocketAddr,
    ) -> Result<load_report::LoadReport, border_error::BorderError>;

    /// Reads the cache events after a sequence number.
    async fn cache_events(
        &self,
        engine: net::SocketAddr,
        after: u64,
    ) -> Result<Vec<cache_event::CacheEvent>, border_error::BorderError>;

    /// Reads what is loaded and in which role the engine is.
    async fn status(
        &self,
        engine: net::SocketAddr,
    ) -> Result<engine_status::EngineStatus, border_error::BorderError>;

    /// Gives an order, unless its first byte would leave later than `start_by`.
    async fn order(
        &self,
        engine: net::SocketAddr,
        order: engine_order::EngineOrder,
        start_by: clock::Timestamp,
    ) -> Result<order_answer::OrderAnswer, border_error::BorderError>;
}
