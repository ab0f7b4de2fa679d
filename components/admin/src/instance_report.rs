//! The instance that answers.

/// The instance that answers.
#[derive(
    Clone, Debug, Default, Eq, PartialEq, bon::Builder, serde::Deserialize, serde::Serialize,
)]
#[builder(on(String, into))]
pub struct InstanceReport {
    /// Number of the instance.
    pub id: ids::InstanceId,
    /// This process of the instance.
    pub incarnation: ids::Incarnation,
    /// Region the instance stands in.
    pub region: String,
    /// Data centre the instance stands in.
    pub data_centre: String,
    /// Version of the program.
    pub version: String,
    /// Whether the instance takes callers.
    pub ready: bool,
    /// What the instance waits for before it takes callers; `ready` when it does.
    pub readiness: String,
    /// Whether the instance finishes its work and takes no more.
    pub draining: bool,
    /// Requests and calls in flight.
    pub in_flight: usize,
}
