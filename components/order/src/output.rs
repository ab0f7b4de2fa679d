//! What a reconciler asks for.

/// What a reconciler asks for.
#[derive(Clone, Debug)]
pub enum Output {
    /// Read an engine's status.
    ReadStatus(ids::ServerName),
    /// Give an engine an order, unless the first byte would leave later than the given time.
    Order(ids::ServerName, border::EngineOrder, std::time::Duration),
    /// Stop placing work on an engine, or place again.
    Drain(ids::ServerName, bool),
}
