//! Model engines over HTTP.

use std::{net, sync, time};

use crate::{connection_pool, engine_timeouts, json_exchange, repeated_ask, token_lines};

/// Names an attempt of a request to an engine.
#[derive(Debug, serde::Serialize)]
struct AttemptName {
    request: ids::RequestId,
    attempt: ids::AttemptNumber,
}

/// Speaks the engine protocol over HTTP.
pub struct EngineGateway {
    pool: sync::Arc<connection_pool::ConnectionPool>,
    timeouts: engine_timeouts::EngineTimeouts,
}

impl EngineGateway {
    /// Makes a gateway that uses the connections of `pool`.
    #[must_use]
    pub const fn new(
        pool: sync::Arc<connection_pool::ConnectionPool>,
        timeouts: engine_timeouts::EngineTimeouts,
    ) -> Self {
        Self { pool, timeouts }
    }

    const fn exchange(
        &self,
        engine: net::SocketAddr,
        timeout: time::Duration,
    ) -> json_exchange::JsonExchange<'_> {
        json_exchange::JsonExchange {
            pool: &self.pool,
            server: engine,
            timeout,
            start_by: clock::Timestamp::MAX,
            fresh: false,
        }
    }

    const fn patient(
        &self,
        engine: net::SocketAddr,
        timeout: time::Duration,
    ) -> repeated_ask::RepeatedAsk<'_> {
        repeated_ask::RepeatedAsk {
            pool: &self.pool,
            server: engine,
            timeout,
        }
    }

    const fn report(&self, engine: net::SocketAddr) -> json_exchange::JsonExchange<'_> {
        self.exchange(engine, self.timeouts.report)
    }
}

#[async_trait::async_trait]
impl border::EngineClient for EngineGateway {
    async fn prefill(
        &self,
        engine: net::SocketAddr,
        job: border::PrefillJob,
    ) -> Result<border::PrefillResult, border::BorderError> {
        self.patient(engine, self.timeouts.prefill)
            .post("/engine/prefill", &job)
            .await
    }

    async fn import(
        &self,
        engine: net::SocketAddr,
        job: border::TransferJob,
    ) -> Result<(), border::BorderError> {
        self.patient(engine, self.timeouts.transfer)
            .post("/engine/import", &job)
            .await
    }

    async fn decode(
        &self,
        engine: net::SocketAddr,
        job: border::DecodeJob,
    ) -> Result<border::TokenStream, border::BorderError> {
        let answer = self
            .exchange(engine, self.timeouts.token_gap)
            .open("/engine/decode", &job)
            .await?;
        let lines = token_lines::TokenLines {
            answer,
            pool: sync::Arc::clone(&self.pool),
            server: engine,
            gap: self.timeouts.token_gap,
            buffer: bytes::BytesMut::new(),
            finished: false,
        };
        Ok(lines.into_stream())
    }

    #[tracing::instrument(name = "engine.cancel", skip(self))]
    async fn cancel(
        &self,
        engine: net::SocketAddr,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
    ) -> Result<(), border::BorderError> {
        let name = AttemptName { request, attempt };
        self.report(engine).post("/engine/cancel", &name).await
    }

    async fn running(
        &self,
        engine: net::SocketAddr,
    ) -> Result<Vec<border::RunningEntry>, border::BorderError> {
        self.report(engine).get("/engine/running").await
    }

    async fn load(
        &self,
        engine: net::SocketAddr,
    ) -> Result<border::LoadReport, border::BorderError> {
        self.report(engine).get("/engine/load").await
    }

    async fn cache_events(
        &self,
        engine: net::SocketAddr,
        after: u64,
    ) -> Result<Vec<border::CacheEvent>, border::BorderError> {
        let path = format!("/engine/cache_events?after={after}");
        self.report(engine).get(&path).await
    }

    async fn status(
        &self,
        engine: net::SocketAddr,
    ) -> Result<border::EngineStatus, border::BorderError> {
        self.report(engine).get("/engine/status").await
    }

    #[tracing::instrument(name = "engine.order", skip(self, order), fields(order = order.order))]
    async fn order(
        &self,
        engine: net::SocketAddr,
        order: border::EngineOrder,
        start_by: clock::Timestamp,
    ) -> Result<border::OrderAnswer, border::BorderError> {
        let mut exchange = self.report(engine);
        exchange.start_by = start_by;
        exchange.post("/engine/order", &order).await
    }
}
