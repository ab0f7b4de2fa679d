//! Plain services over HTTP.

use std::{net, sync};

use crate::{answer_memory, connection_pool, pooled_answer};

/// Sends calls to the backend servers of plain services.
///
/// Any status is an answer: HTTP/1.1 has no refusal that proves a call didn't run.
pub struct ServiceGateway {
    pool: sync::Arc<connection_pool::ConnectionPool>,
    /// Memory for large answers.
    memory: sync::Arc<answer_memory::AnswerMemory>,
}

impl ServiceGateway {
    /// Makes a gateway that uses the connections of `pool` and reads answers into `memory`.
    #[must_use]
    pub const fn new(
        pool: sync::Arc<connection_pool::ConnectionPool>,
        memory: sync::Arc<answer_memory::AnswerMemory>,
    ) -> Self {
        Self { pool, memory }
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
        let body = self.body(&mut answer).await?;
        Ok(border::CallReply {
            status: answer.status(),
            headers: answer.headers().clone(),
            body,
        })
    }

    /// Reads the whole body of an answer, of the largest one that the pool reads into memory at most.
    async fn body(
        &self,
        answer: &mut pooled_answer::PooledAnswer,
    ) -> Result<bytes::Bytes, border::BorderError> {
        let limit_bytes = self.pool.answer_limit_bytes();
        let mut held = answer_memory::HeldAnswer::new(self.memory.share());
        while let Some(piece) = answer.next_piece().await? {
            if held.len() + piece.len() > limit_bytes {
                return Err(border::BorderError::Malformed {
                    detail: format!("answer exceeds {limit_bytes} bytes"),
                });
            }
            held.push(&piece).await?;
        }
        Ok(held.freeze())
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
