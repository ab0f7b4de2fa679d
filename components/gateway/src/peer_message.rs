//! News between instances as bytes.

use std::{net, time};

/// Largest change of the platform's list in news, in bytes.
const DELTA_BYTES: usize = 4 * 1024;

/// Use of one backend server.
#[derive(Clone, PartialEq, prost::Message)]
struct UsageMessage {
    /// Hash of the server's name.
    #[prost(fixed64, tag = "1")]
    server: u64,
    #[prost(uint32, tag = "2")]
    running: u32,
    #[prost(uint32, tag = "3")]
    prefill_tokens: u32,
    /// Tokens in memory of each stream.
    #[prost(uint32, repeated, tag = "4")]
    held: Vec<u32>,
    /// Tokens that are expected to follow, in the same order.
    #[prost(uint32, repeated, tag = "5")]
    remaining: Vec<u32>,
}

/// News of one instance.
#[derive(Clone, PartialEq, prost::Message)]
struct NewsMessage {
    #[prost(fixed32, tag = "1")]
    address: u32,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    sequence: u64,
    #[prost(bool, tag = "4")]
    leaving: bool,
    #[prost(uint64, tag = "5")]
    revision: u64,
    #[prost(fixed64, tag = "6")]
    fingerprint: u64,
    #[prost(uint32, tag = "7")]
    view_age_ms: u32,
    #[prost(message, repeated, tag = "8")]
    usage: Vec<UsageMessage>,
    #[prost(fixed32, repeated, tag = "9")]
    known: Vec<u32>,
    #[prost(message, repeated, tag = "10")]
    retries: Vec<RetryMessage>,
    #[prost(uint64, tag = "11")]
    last_fence: u64,
    #[prost(uint32, tag = "12")]
    last_order_age_ms: u32,
    #[prost(fixed64, repeated, tag = "13")]
    paused: Vec<u64>,
    #[prost(message, repeated, tag = "14")]
    waiting: Vec<WaitMessage>,
    #[prost(uint32, tag = "15")]
    counted_for_ms: u32,
    #[prost(bool, tag = "16")]
    partial: bool,
    /// A change of the list as JSON; empty without one.
    #[prost(bytes = "vec", tag = "17")]
    delta: Vec<u8>,
}

/// A request that waits for a place.
#[derive(Clone, PartialEq, prost::Message)]
struct WaitMessage {
    /// Hash of the service's name.
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(bool, tag = "2")]
    resumes: bool,
    #[prost(uint32, tag = "3")]
    priority: u32,
    #[prost(uint32, tag = "4")]
    held: u32,
    #[prost(uint32, tag = "5")]
    remaining: u32,
    #[prost(sint32, tag = "6")]
    due_in_ms: i32,
    #[prost(uint32, tag = "7")]
    timely_for_ms: u32,
    #[prost(fixed32, tag = "8")]
    selection_seed: u32,
}

/// Requests and repeats of one service.
#[derive(Clone, PartialEq, prost::Message)]
struct RetryMessage {
    /// Hash of the service's name.
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(uint32, tag = "2")]
    requests: u32,
    #[prost(uint32, tag = "3")]
    retries: u32,
}

/// Encodes news.
#[must_use]
pub fn encode(news: &relay::InstanceUpdate) -> Vec<u8> {
    let message = NewsMessage {
        address: news.address.to_bits(),
        incarnation: news.incarnation,
        sequence: news.sequence,
        partial: news.partial,
        delta: news.delta.as_ref().map(encode_delta).unwrap_or_default(),
        leaving: news.leaving,
        revision: news.revision,
        fingerprint: news.fingerprint,
        view_age_ms: whole_millis(news.view_age),
        usage: news
            .usage
            .iter()
            .map(|(server, usage)| UsageMessage {
                server: *server,
                running: usage.running,
                prefill_tokens: usage.prefill_tokens,
                held: usage.streams.iter().map(|load| load.held).collect(),
                remaining: usage.streams.iter().map(|load| load.remaining).collect(),
            })
            .collect(),
        retries: news
            .retries
            .iter()
            .map(|(service, count)| RetryMessage {
                service: *service,
                requests: count.requests,
                retries: count.retries,
            })
            .collect(),
        waiting: news.waiting.iter().map(encode_waiting).collect(),
        counted_for_ms: whole_millis(news.count_window),
        last_fence: news.last_fence,
        paused: news.paused.clone(),
        last_order_age_ms: whole_millis(news.last_order_age),
        known: news.known.iter().map(|address| address.to_bits()).collect(),
    };
    prost::Message::encode_to_vec(&message)
}

/// Decodes news.
///
/// # Errors
///
/// Returns the codec's error when the bytes aren't news.
pub fn decode(bytes: &[u8]) -> Result<relay::InstanceUpdate, prost::DecodeError> {
    let message = <NewsMessage as prost::Message>::decode(bytes)?;
    Ok(relay::InstanceUpdate::builder()
        .address(net::Ipv4Addr::from_bits(message.address))
        .incarnation(message.incarnation)
        .sequence(message.sequence)
        .partial(message.partial)
        // Without a readable change the store is read.
        .maybe_delta(serde_json::from_slice(&message.delta).ok())
        .leaving(message.leaving)
        .revision(message.revision)
        .fingerprint(message.fingerprint)
        .view_age(time::Duration::from_millis(u64::from(message.view_age_ms)))
        .usage(
            message
                .usage
                .iter()
                .map(|usage| (usage.server, decode_usage(usage)))
                .collect(),
        )
        .waiting(message.waiting.iter().map(decode_waiting).collect())
        .count_window(time::Duration::from_millis(u64::from(
            message.counted_for_ms,
        )))
        .last_fence(message.last_fence)
        .paused(message.paused)
        .last_order_age(time::Duration::from_millis(u64::from(
            message.last_order_age_ms,
        )))
        .retries(
            message
                .retries
                .iter()
                .map(|retry| {
                    let count = relay::RetryCount {
                        requests: retry.requests,
                        retries: retry.retries,
                    };
                    (retry.service, count)
                })
                .collect(),
        )
        .known(
            message
                .known
                .iter()
                .map(|address| net::Ipv4Addr::from_bits(*address))
                .collect(),
        )
        .build())
}

fn decode_usage(message: &UsageMessage) -> relay::EngineUsage {
    let streams = message.held.iter().zip(&message.remaining);
    relay::EngineUsage {
        running: message.running,
        prefill_tokens: message.prefill_tokens,
        streams: streams
            .map(|(held, remaining)| relay::StreamLoad {
                held: *held,
                remaining: *remaining,
            })
            .collect(),
    }
}

/// Returns a change of the list as bytes, none when it is too large for a datagram: the others read
/// the store then.
fn encode_delta(delta: &relay::ListDelta) -> Vec<u8> {
    serde_json::to_vec(delta)
        .ok()
        .filter(|bytes| bytes.len() <= DELTA_BYTES)
        .unwrap_or_default()
}

fn encode_waiting(news: &relay::QueueUpdate) -> WaitMessage {
    WaitMessage {
        service: news.service,
        resumes: news.resumes,
        priority: u32::from(news.priority),
        held: news.load.held,
        remaining: news.load.remaining,
        due_in_ms: news.due_in_millis,
        timely_for_ms: whole_millis(news.timely_for),
        selection_seed: news.selection_seed,
    }
}

fn decode_waiting(message: &WaitMessage) -> relay::QueueUpdate {
    relay::QueueUpdate::builder()
        .service(message.service)
        .resumes(message.resumes)
        .priority(u8::try_from(message.priority).unwrap_or(u8::MAX))
        .load(relay::StreamLoad {
            held: message.held,
            remaining: message.remaining,
        })
        .due_in_millis(message.due_in_ms)
        .timely_for(time::Duration::from_millis(u64::from(
            message.timely_for_ms,
        )))
        .selection_seed(message.selection_seed)
        .build()
}

fn whole_millis(time: time::Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
