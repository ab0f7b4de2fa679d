//! Phases of a connection.

/// Phases of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPhase {
    /// The head of a request isn't whole, or nothing of it has arrived.
    Waiting,
    /// The body of a request isn't whole.
    Reading,
    /// A request is whole and is being served.
    Serving,
    /// The answer to a request is being sent.
    Answering,
}
