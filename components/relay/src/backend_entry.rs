//! A backend server or engine in the platform's list.

use std::net;

/// Stage that an engine of a service with separate prefill and decode pools runs.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    PartialEq,
    serde::Deserialize,
    serde::Serialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EngineStage {
    /// Prefills prompts and transfers their KV cache to decode engines.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// A backend server or engine in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder, serde::Deserialize, serde::Serialize)]
pub struct BackendEntry {
    /// Name of this incarnation, which the server checks in requests.
    pub server: ids::ServerName,
    /// Service to which the server belongs.
    pub service: ids::ServiceName,
    /// Address for requests.
    pub address: net::SocketAddr,
    /// Data centre of the server.
    pub data_centre: ids::DataCentreName,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server is draining and receives no new work.
    #[serde(default)]
    #[builder(default)]
    pub leaving: bool,
    /// Stage of an engine; `None` for a plain backend server.
    pub stage: Option<EngineStage>,
    /// Version of the server's software; empty when unknown. What engines of two versions write
    /// doesn't fit together.
    #[serde(default = "unknown_version")]
    #[builder(default = unknown_version())]
    pub software: ids::SoftwareVersion,
    /// Start of this incarnation, in milliseconds since the Unix epoch; 0 when unknown.
    #[serde(default)]
    #[builder(default)]
    pub born_millis: u64,
}

impl BackendEntry {
    /// Returns whether the entry is of the same process as another one of the same name.
    #[must_use]
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.born_millis == other.born_millis && self.software == other.software
    }
}

fn unknown_version() -> ids::SoftwareVersion {
    "".into()
}
