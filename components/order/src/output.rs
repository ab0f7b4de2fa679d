//! Outputs of the order reconciler.

/// Action requested by the order reconciler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Read an engine's status.
    ReadStatus(ids::ServerName),
    /// Read an engine's list of running requests.
    ReadRunning(ids::ServerName),
    /// Send an order to an engine; its first byte must be sent within the given time or not at all.
    Order(ids::ServerName, border::EngineOrder, std::time::Duration),
    /// Stop (`true`) or resume (`false`) the placement of requests on an engine.
    Drain(ids::ServerName, bool),
}
