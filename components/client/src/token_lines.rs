//! Reads a stream of tokens, one JSON object a line.

use std::{net, sync, time};

use futures_util::{StreamExt as _, stream};

use crate::{connection_pool, pooled_answer};

/// Largest line of a token stream, in bytes.
const LINE_LIMIT_BYTES: usize = 64 * 1024;

/// A stream of tokens under way.
pub(crate) struct TokenLines {
    pub(crate) answer: pooled_answer::PooledAnswer,
    pub(crate) pool: sync::Arc<connection_pool::ConnectionPool>,
    pub(crate) server: net::SocketAddr,
    pub(crate) gap: time::Duration,
    pub(crate) buffer: bytes::BytesMut,
    pub(crate) finished: bool,
}

impl TokenLines {
    /// Turns the answer into a stream that ends after the last token or the first error.
    pub(crate) fn into_stream(self) -> border::TokenStream {
        stream::unfold(Some(self), |lines| async move {
            let mut lines = lines?;
            match lines.next_token().await {
                Ok(Some(token)) => Some((Ok(token), Some(lines))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        })
        .boxed()
    }

    async fn next_token(&mut self) -> Result<Option<border::TokenEvent>, border::BorderError> {
        loop {
            if let Some(line) = self.take_line() {
                if line.is_empty() {
                    continue;
                }
                return self.parse(&line).map(Some);
            }
            if !self.fill().await? {
                return self.end();
            }
        }
    }

    fn take_line(&mut self) -> Option<bytes::BytesMut> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let mut line = self.buffer.split_to(end + 1);
        line.truncate(end);
        Some(line)
    }

    fn parse(&mut self, line: &[u8]) -> Result<border::TokenEvent, border::BorderError> {
        let token: border::TokenEvent =
            serde_json::from_slice(line).map_err(|error| border::BorderError::Malformed {
                detail: error.to_string(),
            })?;
        self.finished = token.finish.is_some();
        Ok(token)
    }

    /// Reads more bytes; returns whether the stream goes on.
    async fn fill(&mut self) -> Result<bool, border::BorderError> {
        if self.buffer.len() > LINE_LIMIT_BYTES {
            return Err(border::BorderError::Malformed {
                detail: format!("a token exceeds {LINE_LIMIT_BYTES} bytes"),
            });
        }
        let Ok(piece) = tokio::time::timeout(self.gap, self.answer.next_piece()).await else {
            self.pool.discard(self.server);
            return Err(connection_pool::lost("the token stream went silent"));
        };
        let Some(piece) = piece? else {
            return Ok(false);
        };
        self.buffer.extend_from_slice(&piece);
        Ok(true)
    }

    fn end(&self) -> Result<Option<border::TokenEvent>, border::BorderError> {
        if self.finished {
            return Ok(None);
        }
        Err(connection_pool::lost(
            "the token stream ended before its last token",
        ))
    }
}
