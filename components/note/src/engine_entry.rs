//! A model engine.

use crate::{engine_role, fencing_support};

/// A model engine, one of the backend servers.
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
#[builder(on(_, into))]
pub struct EngineEntry {
    /// Name, unique among backend servers.
    pub name: ids::ServerName,
    /// Socket address of the engine's HTTP interface.
    pub address: std::net::SocketAddr,
    /// Region of the engine.
    pub region: ids::RegionName,
    /// Data centre of the engine.
    pub data_centre: ids::DataCentreName,
    /// Role of the engine.
    pub role: engine_role::EngineRole,
    /// Models that the engine must have loaded.
    pub models: Vec<ids::ModelName>,
    /// Maximum number of requests that the engine decodes concurrently.
    pub decode_slots: u32,
    /// KV cache capacity, in pieces of [`crate::KV_PIECE_TOKENS`] tokens.
    pub kv_pieces: u32,
    /// Prefill rate, in prompt tokens per second.
    pub prefill_tokens_per_second: u32,
    /// Rate of the engine's transfer link, in tokens of KV cache per second.
    pub link_tokens_per_second: u32,
    /// Time between two tokens of one request with a full batch, in milliseconds.
    pub full_batch_token_ms: u32,
    /// Time after which the engine drops a prefill result that was not imported, in milliseconds.
    pub retention_ms: u32,
    /// Whether the engine checks the fencing numbers of orders, such as to switch its role.
    #[serde(default)]
    #[builder(default)]
    pub fencing: fencing_support::FencingSupport,
    /// Whether the engine is draining and receives no new work.
    #[serde(default)]
    #[builder(default)]
    pub leaving: bool,
}
