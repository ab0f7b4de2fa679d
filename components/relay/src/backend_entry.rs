//! A backend server or engine in the platform's list.

use std::net;

/// What an engine of a service with separate pools does.
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
    /// Reads prompts and hands their KV cache on.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// A backend server or engine in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder, serde::Deserialize, serde::Serialize)]
pub struct BackendEntry {
    /// Name of this incarnation, which it checks in requests.
    pub server: ids::ServerName,
    /// Service to which it belongs.
    pub service: ids::ServiceName,
    /// Where it is reached.
    pub address: net::SocketAddr,
    /// Data centre in which it stands.
    pub data_centre: ids::DataCentreName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it receives no new work.
    #[serde(default)]
    #[builder(default)]
    pub leaving: bool,
    /// What it does, when it is an engine.
    pub stage: Option<EngineStage>,
    /// Start of this incarnation, in milliseconds since the Unix epoch; 0 when unknown.
    #[serde(default)]
    #[builder(default)]
    pub born_millis: u64,
}
