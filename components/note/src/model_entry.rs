//! A model that the site serves.

/// A model that the site serves.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Name callers ask for.
    pub name: ids::ModelName,
    /// Version whose weights the engines load.
    pub version: ids::VersionName,
    /// Adapters that may be asked for on this model.
    #[serde(default)]
    pub adapters: Vec<ids::AdapterName>,
}
