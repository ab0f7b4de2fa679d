//! One exchange of JSON with a server.

use std::{net, sync, time};

use crate::{bounded_fetch, connection_pool, pooled_answer};

/// Time for the body of an answer whose bytes keep arriving, in timeouts of the exchange.
const BODY_TIMEOUTS: u32 = 10;

/// A request to a server that speaks JSON.
pub(crate) struct JsonExchange<'pool> {
    pub(crate) pool: &'pool sync::Arc<connection_pool::ConnectionPool>,
    pub(crate) server: net::SocketAddr,
    pub(crate) timeout: time::Duration,
    pub(crate) start_by: clock::Timestamp,
    /// Whether the exchange gets a connection of its own.
    pub(crate) fresh: bool,
}

impl JsonExchange<'_> {
    /// Sends `body` by POST and reads the answer as JSON.
    pub(crate) async fn post<Answer: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<Answer, border::BorderError> {
        let mut answer = self.open(path, body).await?;
        self.read(&mut answer).await
    }

    /// Sends a GET and reads the answer as JSON.
    pub(crate) async fn get<Answer: serde::de::DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Answer, border::BorderError> {
        let request = request(http::Method::GET, path, bytes::Bytes::new())?;
        let mut answer = self.exchange(request).await?;
        self.read(&mut answer).await
    }

    /// Sends `body` by POST and returns the accepted answer unread.
    pub(crate) async fn open(
        &self,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<pooled_answer::PooledAnswer, border::BorderError> {
        let body = serde_json::to_vec(body)
            .map_err(|error| connection_pool::not_sent(error.to_string()))?;
        let request = request(http::Method::POST, path, body.into())?;
        self.exchange(request).await
    }

    async fn exchange(
        &self,
        request: http::Request<connection_pool::WholeBody>,
    ) -> Result<pooled_answer::PooledAnswer, border::BorderError> {
        let mut answer = self.in_time(self.send(request)).await?;
        if answer.status().is_success() {
            return Ok(answer);
        }
        let status = answer.status();
        let detail = self.in_time(answer.whole_body()).await.unwrap_or_default();
        Err(status_error(status, &String::from_utf8_lossy(&detail)))
    }

    async fn send(
        &self,
        request: http::Request<connection_pool::WholeBody>,
    ) -> Result<pooled_answer::PooledAnswer, border::BorderError> {
        if self.fresh {
            return self.pool.send_fresh(self.server, request).await;
        }
        self.pool.send(self.server, request, self.start_by).await
    }

    async fn read<Answer: serde::de::DeserializeOwned>(
        &self,
        answer: &mut pooled_answer::PooledAnswer,
    ) -> Result<Answer, border::BorderError> {
        let limits = bounded_fetch::FetchLimits {
            head: self.timeout,
            pause: self.timeout,
            body: self.timeout * BODY_TIMEOUTS,
        };
        let limit_bytes = self.pool.answer_limit_bytes();
        let received = bounded_fetch::receive_body(answer, limit_bytes, limits, |_| ()).await;
        if matches!(received, Err(border::BorderError::Lost { .. })) {
            self.pool.discard(self.server);
        }
        let body = received?;
        serde_json::from_slice(&body).map_err(|error| border::BorderError::Malformed {
            detail: error.to_string(),
        })
    }

    /// Gives up after the timeout; the connections to the server are then replaced.
    async fn in_time<Answer>(
        &self,
        work: impl Future<Output = Result<Answer, border::BorderError>>,
    ) -> Result<Answer, border::BorderError> {
        match tokio::time::timeout(self.timeout, work).await {
            Ok(result) => result,
            Err(_) => {
                self.pool.discard(self.server);
                Err(connection_pool::lost("the connection went silent"))
            }
        }
    }
}

fn request(
    method: http::Method,
    path: &str,
    body: bytes::Bytes,
) -> Result<http::Request<connection_pool::WholeBody>, border::BorderError> {
    http::Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(http_body_util::Full::new(body))
        .map_err(|error| connection_pool::not_sent(error.to_string()))
}

/// Sorts a status by what the engine protocol promises for it.
fn status_error(status: http::StatusCode, detail: &str) -> border::BorderError {
    let detail = format!("{status}: {detail}");
    match status {
        http::StatusCode::TOO_MANY_REQUESTS | http::StatusCode::SERVICE_UNAVAILABLE => {
            border::BorderError::Refused { detail }
        }
        http::StatusCode::NOT_FOUND | http::StatusCode::GONE => {
            border::BorderError::Gone { detail }
        }
        _ => border::BorderError::Malformed { detail },
    }
}
