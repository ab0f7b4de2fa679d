//! An order that isn't settled.

/// An order that an instance gave to an engine and that isn't settled.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct OrderReport {
    /// The engine.
    pub engine: String,
    /// Number of the order.
    pub order: u64,
    /// What was ordered.
    pub action: String,
    /// Time since it was sent, in milliseconds.
    pub age_ms: u64,
}
