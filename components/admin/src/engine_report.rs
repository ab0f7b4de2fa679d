//! An engine in force, with its load where it is known.

use std::net;

/// An engine in force, with its load where the answering instance counts it.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder, serde::Deserialize, serde::Serialize)]
#[builder(on(String, into))]
pub struct EngineReport {
    /// Name of the engine.
    pub name: String,
    /// Address of the engine.
    pub address: net::SocketAddr,
    /// Data centre the engine stands in.
    pub data_centre: String,
    /// Role that the release notes ask for.
    pub role: String,
    /// Models that the engine serves.
    pub models: Vec<String>,
    /// Whether the release notes say that the engine is leaving.
    pub leaving: bool,
    /// Instance that owns the engine's cell; `None` when no live instance can.
    pub owner: Option<ids::InstanceId>,
    /// Load as the cell's owner counts it; `None` when another instance owns the cell.
    pub load: Option<EngineLoad>,
}

/// Load of an engine as the owner of its cell counts it.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EngineLoad {
    /// Role that the engine last told; `None` before its first status.
    pub role: Option<String>,
    /// Decode slots held.
    pub held_slots: u32,
    /// Decode slots of the engine.
    pub slots: u32,
    /// Pieces of engine memory held.
    pub held_pieces: u32,
    /// Pieces of engine memory.
    pub pieces: u32,
    /// Prompt tokens that wait for prefill.
    pub queued_prompt_tokens: u64,
}
