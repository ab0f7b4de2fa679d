//! A prompt for a prefill engine.

/// A prompt for a prefill engine.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder, serde::Deserialize, serde::Serialize)]
pub struct PrefillJob {
    /// Request the work belongs to.
    pub request: ids::RequestId,
    /// Attempt the work belongs to.
    pub attempt: ids::AttemptNumber,
    /// Instance that answers the caller.
    pub entry: ids::InstanceId,
    /// Model to run.
    pub model: ids::ModelName,
    /// Adapter to run it with.
    pub adapter: Option<ids::AdapterName>,
    /// Text of the prompt.
    pub prompt: String,
    /// Priority; higher goes first.
    pub priority: u8,
}
