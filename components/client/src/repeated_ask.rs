//! Asks that may be repeated while their answer is silent.

use std::{net, sync, time};

use futures_util::{StreamExt as _, stream};

use crate::{connection_pool, json_exchange};

/// Silence after which an ask is repeated over a fresh connection; it doubles each time.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(400);

/// An ask that attaches to the same work when it is repeated.
///
/// A slow answer and a silent connection look alike, so that the ask is repeated over a
/// connection of its own while the first stays open. Whichever answers first counts.
pub(crate) struct RepeatedAsk<'pool> {
    pub(crate) pool: &'pool sync::Arc<connection_pool::ConnectionPool>,
    pub(crate) server: net::SocketAddr,
    pub(crate) timeout: time::Duration,
}

impl RepeatedAsk<'_> {
    /// Sends `body` by POST until an answer arrives, and reads it as JSON.
    ///
    /// # Errors
    ///
    /// Returns the error of the first ask, since a later one proves nothing about the work.
    pub(crate) async fn post<Answer: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        body: &(impl serde::Serialize + Sync),
    ) -> Result<Answer, border::BorderError> {
        let ask = |fresh| async move {
            let exchange = json_exchange::JsonExchange {
                pool: self.pool,
                server: self.server,
                timeout: self.timeout,
                start_by: clock::Timestamp::MAX,
                fresh,
            };
            (fresh, exchange.post(path, body).await)
        };
        let mut asks = stream::FuturesUnordered::from_iter([ask(false)]);
        let mut pause = FIRST_PAUSE;
        let mut first_error = None;
        loop {
            tokio::select! {
                answered = asks.next() => match answered {
                    Some((fresh, Ok(answer))) => {
                        self.note_silence(fresh);
                        return Ok(answer);
                    }
                    Some((false, Err(error))) if asks.is_empty() => return Err(error),
                    Some((fresh, Err(error))) => {
                        if !fresh || first_error.is_none() {
                            first_error = Some(error);
                        }
                    }
                    None => {
                        let silent = || connection_pool::lost("the connection went silent");
                        return Err(first_error.unwrap_or_else(silent));
                    }
                },
                () = tokio::time::sleep(pause), if pause < self.timeout => {
                    pause *= 2;
                    asks.push(ask(true));
                }
            }
        }
    }

    /// Replaces the server's connections when a fresh one has answered before the others.
    fn note_silence(&self, fresh: bool) {
        if fresh {
            self.pool.discard(self.server);
        }
    }
}
