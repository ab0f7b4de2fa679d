//! Plain services over HTTP.

use std::{net, sync};

use crate::connection_pool;

/// Sends calls to the backend servers of plain services.
///
/// Any status is an answer: HTTP/1.1 has no refusal that proves a call didn't run.
pub struct ServiceGateway {
    pool: sync::Arc<connection_pool::ConnectionPool>,
}

impl ServiceGateway {
    /// Makes a gateway that uses the connections of `pool`.
    #[must_use]
    pub const fn new(pool: sync::Arc<connection_pool::ConnectionPool>) -> Self {
        Self { pool }
    }

    async fn exchange(
        &self,
        server: net::SocketAddr,
        job: border::CallJob,
    ) -> Result<border::CallReply, border::BorderError> {
        let mut request = http::Request::builder()
            .method(job.method)
            .uri(job.target)
            .body(http_body_util::Full::new(job.body))
            .map_err(|error| connection_pool::not_sent(error.to_string()))?;
        *request.headers_mut() = job.headers;
        let mut answer = self.pool.send(server, request, job.start_by).await?;
        let body = answer.whole_body().await?;
        Ok(border::CallReply {
            status: answer.status(),
            headers: answer.headers().clone(),
            body,
        })
    }
}

#[async_trait::async_trait]
impl border::ServiceClient for ServiceGateway {
    async fn call(
        &self,
        server: net::SocketAddr,
        job: border::CallJob,
    ) -> Result<border::CallReply, border::BorderError> {
        let time_left = job.time_left;
        match tokio::time::timeout(time_left, self.exchange(server, job)).await {
            Ok(result) => result,
            Err(_) => {
                self.pool.discard(server);
                Err(connection_pool::lost("the call wasn't answered in time"))
            }
        }
    }
}
