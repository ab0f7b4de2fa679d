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
    /// Region the engine stands in.
    pub region: ids::RegionName,
    /// Data centre the engine stands in.
    pub data_centre: ids::DataCentreName,
    /// What the engine is used for.
    pub role: engine_role::EngineRole,
    /// Models the engine is to have loaded.
    pub models: Vec<ids::ModelName>,
    /// Number of requests the engine decodes at once.
    pub decode_slots: u32,
    /// Pieces of engine memory, each of [`crate::KV_PIECE_TOKENS`] tokens.
    pub kv_pieces: u32,
    /// Prompt tokens the engine prefills in a second.
    pub prefill_tokens_per_second: u32,
    /// Rate of the engine's transfer link, in tokens of KV cache a second.
    pub link_tokens_per_second: u32,
    /// Time between two tokens of one request when the batch is full, in milliseconds.
    pub full_batch_token_ms: u32,
    /// Time the engine keeps a prefill result that nobody imports, in milliseconds.
    pub retention_ms: u32,
    /// Whether the engine checks fencing numbers.
    #[serde(default)]
    #[builder(default)]
    pub fencing: fencing_support::FencingSupport,
    /// Whether the engine is to receive no new work.
    #[serde(default)]
    #[builder(default)]
    pub leaving: bool,
}
