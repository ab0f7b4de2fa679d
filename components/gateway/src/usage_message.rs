//! Encodes the load of one instance on one backend server.

/// Load of one instance on one backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct UsageMessage {
    /// Hash of the server's name.
    #[prost(fixed64, tag = "1")]
    server: u64,
    #[prost(uint32, tag = "2")]
    running: u32,
    #[prost(uint32, tag = "3")]
    prefill_tokens: u32,
    /// Tokens in the engine's memory, for each stream.
    #[prost(uint32, repeated, tag = "4")]
    held: Vec<u32>,
    /// Tokens that are expected to follow, for each stream in the same order.
    #[prost(uint32, repeated, tag = "5")]
    remaining: Vec<u32>,
}

/// Encodes the load on a server, by the hash of its name.
pub(crate) fn encode(server: u64, usage: &relay::EngineUsage) -> UsageMessage {
    UsageMessage {
        server,
        running: usage.running,
        prefill_tokens: usage.prefill_tokens,
        held: usage.streams.iter().map(|load| load.held).collect(),
        remaining: usage.streams.iter().map(|load| load.remaining).collect(),
    }
}

/// Decodes the load on a server and the hash of its name.
pub(crate) fn decode(message: &UsageMessage) -> (u64, relay::EngineUsage) {
    let streams = message.held.iter().zip(&message.remaining);
    let usage = relay::EngineUsage {
        running: message.running,
        prefill_tokens: message.prefill_tokens,
        streams: streams
            .map(|(held, remaining)| relay::StreamLoad {
                held: *held,
                remaining: *remaining,
            })
            .collect(),
    };
    (message.server, usage)
}
