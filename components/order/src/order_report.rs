//! An open order, for reading back.

/// An order that was sent and isn't settled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderReport {
    /// Engine that was ordered.
    pub engine: ids::ServerName,
    /// Number of the order.
    pub order: u64,
    /// What was ordered.
    pub action: border::OrderAction,
    /// Time since it was sent.
    pub age: std::time::Duration,
}
