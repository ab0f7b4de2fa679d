//! An order to an engine.

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EngineOrder {
    /// Names the order, so that an answer and a repeat can be matched.
    pub order: u64,
    /// Fencing number; an engine that checks it refuses a lower one than it has seen.
    pub fence: u128,
    /// What the engine is to do.
    pub action: OrderAction,
}

/// What an engine is ordered to do.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum OrderAction {
    /// Load a version of a model from the weight store.
    LoadModel(ids::ModelName, ids::VersionName),
    /// Unload a version of a model.
    UnloadModel(ids::ModelName, ids::VersionName),
    /// Load an adapter of a model.
    LoadAdapter(ids::ModelName, ids::AdapterName),
    /// Unload an adapter of a model.
    UnloadAdapter(ids::ModelName, ids::AdapterName),
    /// Take a role.
    TakeRole(note::EngineRole),
}
