//! History of the connection on which an answer arrived.

use std::time;

/// History of the connection on which an answer arrived.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionUse {
    /// Number of answers that arrived on the connection before this one; 0 on a new connection.
    pub earlier_answers: u32,
    /// Time since the connection was opened.
    pub age: time::Duration,
}
