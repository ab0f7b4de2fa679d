//! A model that the site serves.

/// A model that the site serves.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Name that callers request.
    pub name: ids::ModelName,
    /// Version of the weights that the engines load.
    pub version: ids::VersionName,
    /// Adapters that callers may request for this model.
    #[serde(default)]
    pub adapters: Vec<ids::AdapterName>,
}
