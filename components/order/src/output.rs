//! What a reconciler asks for.

/// What a reconciler asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Read an engine's status.
    ReadStatus(ids::ServerName),
    /// Read an engine's running list.
    ReadRunning(ids::ServerName),
    /// Give an engine an order, unless its first byte would leave later than the given time.
    Order(ids::ServerName, border::EngineOrder, std::time::Duration),
    /// Stop placing work on an engine, or place again.
    Drain(ids::ServerName, bool),
}
