//! The settings of one instance.

use crate::{
    drain_settings, instance_place, listen_addresses, log_settings, platform_addresses,
    request_limits, settings_error, settings_reader, stage_timeouts, tracing_settings,
};

/// Header field that names the workspace of a request unless the settings say otherwise.
const WORKSPACE_HEADER: &str = "x-workspace";

/// The settings of one instance.
#[derive(
    Clone,
    Debug,
    Eq,
    PartialEq,
    bon::Builder,
    serde::Deserialize,
    serde::Serialize,
    schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
#[builder(on(String, into))]
pub struct InstanceSettings {
    /// Which instance this is and where it stands.
    pub instance: instance_place::InstancePlace,
    /// Addresses the instance listens on.
    pub listen: listen_addresses::ListenAddresses,
    /// Addresses of the platform's services.
    pub platform: platform_addresses::PlatformAddresses,
    /// Bounds on what callers may send.
    #[serde(default)]
    #[builder(default)]
    pub limits: request_limits::RequestLimits,
    /// Longest waits for others.
    #[serde(default)]
    #[builder(default)]
    pub timeouts: stage_timeouts::StageTimeouts,
    /// How the instance shuts down.
    #[serde(default)]
    #[builder(default)]
    pub drain: drain_settings::DrainSettings,
    /// Header field that names the workspace of a request.
    #[serde(default = "workspace_header")]
    #[builder(default = workspace_header())]
    pub workspace_header: String,
    /// What is logged, and how.
    #[serde(default)]
    #[builder(default)]
    pub log: log_settings::LogSettings,
    /// Where spans are exported to.
    #[serde(default)]
    #[builder(default)]
    pub tracing: tracing_settings::TracingSettings,
}

impl InstanceSettings {
    /// Reads and checks settings from YAML; `file` names the source in diagnostics.
    ///
    /// # Errors
    ///
    /// Returns [`settings_error::SettingsError::Invalid`] with every problem found.
    pub fn from_yaml(file: &str, text: &str) -> Result<Self, settings_error::SettingsError> {
        settings_reader::read_text(file, text)
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`settings_error::SettingsError`] when the file can't be read or isn't valid.
    pub fn from_file(path: &std::path::Path) -> Result<Self, settings_error::SettingsError> {
        settings_reader::read_file(path)
    }

    /// Returns the JSON schema of the settings.
    #[must_use]
    pub fn schema() -> schemars::Schema {
        schemars::schema_for!(Self)
    }
}

fn workspace_header() -> String {
    WORKSPACE_HEADER.to_owned()
}
