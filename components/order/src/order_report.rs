//! Report of an open order.

/// Order that was sent and is not confirmed yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderReport {
    /// Engine to which the order was sent.
    pub engine: ids::ServerName,
    /// Number that identifies the order.
    pub order: u64,
    /// Ordered action.
    pub action: border::OrderAction,
    /// Time since the order was sent.
    pub age: std::time::Duration,
}
