//! An open connection of the pool.

use std::time;

use hyper::client::conn::http1;

use crate::connection_pool;

/// An open connection of the pool, with its history.
pub(crate) struct PooledConnection {
    pub(crate) sender: http1::SendRequest<connection_pool::WholeBody>,
    opened_at: time::Instant,
    /// Number of answers that arrived on the connection.
    answers: u32,
}

impl PooledConnection {
    pub(crate) fn new(sender: http1::SendRequest<connection_pool::WholeBody>) -> Self {
        Self {
            sender,
            opened_at: time::Instant::now(),
            answers: 0,
        }
    }

    /// Counts an answer; returns the history of the connection before it.
    pub(crate) fn record_answer(&mut self) -> border::ConnectionUse {
        let history = border::ConnectionUse {
            earlier_answers: self.answers,
            age: self.opened_at.elapsed(),
        };
        self.answers = self.answers.saturating_add(1);
        history
    }
}
