//! A transfer of a KV cache between engines.

/// Asks a decode engine to import a KV cache from a prefill engine.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder, serde::Deserialize, serde::Serialize)]
pub struct TransferJob {
    /// Request the work belongs to.
    pub request: ids::RequestId,
    /// Attempt the work belongs to.
    pub attempt: ids::AttemptNumber,
    /// Instance that answers the caller.
    pub entry: ids::InstanceId,
    /// Address of the engine that exports.
    pub source: std::net::SocketAddr,
    /// KV cache at the exporting engine.
    pub kv_handle: u64,
    /// Length of the prompt, which sets the size of the transfer.
    pub prompt_tokens: u32,
    /// Pieces to hold at the importing engine.
    pub kv_pieces: u32,
}
