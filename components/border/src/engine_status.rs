//! What an engine reports of its models and role.

/// What an engine reports of its models and role.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EngineStatus {
    /// Role the engine has now.
    pub role: note::EngineRole,
    /// Models and versions that are loaded.
    pub loaded: Vec<(ids::ModelName, ids::VersionName)>,
    /// Adapters that are loaded.
    pub adapters: Vec<ids::AdapterName>,
    /// Highest fencing number seen, where the engine checks numbers.
    pub fence: Option<u128>,
    /// Number of the last order carried out, as its sender named it.
    pub last_order: Option<u64>,
}
