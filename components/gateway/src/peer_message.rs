//! Encodes the state updates between instances as Protocol Buffers messages.

use std::{net, time};

/// Maximum size of a change of the platform's list of backend servers in a state update, in bytes.
const MAX_DELTA_BYTES: usize = 4 * 1024;

/// Load of one instance on one backend server.
#[derive(Clone, PartialEq, prost::Message)]
struct UsageMessage {
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

/// State update of one instance.
#[derive(Clone, PartialEq, prost::Message)]
struct UpdateMessage {
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
    /// Addresses of other instances that the sender considers alive.
    #[prost(fixed32, repeated, tag = "9")]
    known: Vec<u32>,
    #[prost(message, repeated, tag = "10")]
    retries: Vec<RetryMessage>,
    /// Fencing token of the sender's last order to an engine, 0 without an order.
    #[prost(uint64, tag = "11")]
    last_fence: u64,
    #[prost(uint32, tag = "12")]
    last_order_age_ms: u32,
    /// Hashes of the names of engines that are paused for all instances.
    #[prost(fixed64, repeated, tag = "13")]
    paused: Vec<u64>,
    #[prost(message, repeated, tag = "14")]
    waiting: Vec<QueueMessage>,
    /// Time covered by the counts in `retries`.
    #[prost(uint32, tag = "15")]
    count_window_ms: u32,
    /// Whether the update omits fields that have not changed.
    #[prost(bool, tag = "16")]
    partial: bool,
    /// Change of the platform's list of backend servers as JSON; empty without a change.
    #[prost(bytes = "vec", tag = "17")]
    delta: Vec<u8>,
    /// Era of the platform's store to which `revision` belongs; 0 from instances that don't know
    /// eras.
    #[prost(uint64, tag = "18")]
    era: u64,
    /// Version of the configuration in force, 0 if unknown.
    #[prost(uint64, tag = "19")]
    config_version: u64,
    /// Hashes of the incarnations of servers that are draining.
    #[prost(fixed64, repeated, tag = "20")]
    draining: Vec<u64>,
    #[prost(message, repeated, tag = "21")]
    estimates: Vec<EstimateMessage>,
}

/// Averages over the streams of one service.
#[derive(Clone, PartialEq, prost::Message)]
struct EstimateMessage {
    /// Hash of the service's name.
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(uint32, tag = "2")]
    streams: u32,
    /// Sums of the fit of the prefill durations in milliseconds to the numbers of tokens.
    #[prost(float, tag = "3")]
    prefill_weight: f32,
    #[prost(float, tag = "4")]
    prefill_input: f32,
    #[prost(float, tag = "5")]
    prefill_value: f32,
    #[prost(double, tag = "6")]
    prefill_squared_input: f64,
    #[prost(double, tag = "7")]
    prefill_product: f64,
    #[prost(float, tag = "8")]
    handoff_ms: f32,
    #[prost(float, tag = "9")]
    deviation_ms: f32,
    /// Tokens per millisecond.
    #[prost(float, tag = "10")]
    decode_rate: f32,
    #[prost(float, tag = "11")]
    slot_ms: f32,
    #[prost(float, tag = "12")]
    prompt_tokens: f32,
    #[prost(float, tag = "13")]
    mean_tokens: f32,
    /// Mean of the logarithm of the output length, and variances of that and of hints.
    #[prost(float, tag = "14")]
    log_mean: f32,
    #[prost(float, tag = "15")]
    log_variance: f32,
    #[prost(float, tag = "16")]
    hint_variance: f32,
    #[prost(uint32, tag = "17")]
    requests: u32,
}

/// A request in the wait queue of an instance.
#[derive(Clone, PartialEq, prost::Message)]
struct QueueMessage {
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
    /// Time until the first token is due; negative when it is overdue.
    #[prost(sint32, tag = "6")]
    due_in_ms: i32,
    /// Time within which a placement still leads to a first token on time.
    #[prost(uint32, tag = "7")]
    timely_for_ms: u32,
    /// Seed of the engine selection, the same on all instances.
    #[prost(fixed32, tag = "8")]
    selection_seed: u32,
}

/// Number of requests and retries of one service.
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

/// Encodes a state update.
#[must_use]
pub fn encode(update: &relay::InstanceUpdate) -> Vec<u8> {
    let message = UpdateMessage {
        address: update.address.to_bits(),
        incarnation: update.incarnation,
        sequence: update.sequence,
        partial: update.partial,
        delta: update.delta.as_ref().map(encode_delta).unwrap_or_default(),
        leaving: update.leaving,
        era: update.position.era,
        revision: update.position.revision,
        config_version: update.config_version,
        fingerprint: update.fingerprint,
        view_age_ms: whole_millis(update.view_age),
        usage: update
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
        retries: update
            .retries
            .iter()
            .map(|(service, count)| RetryMessage {
                service: *service,
                requests: count.requests,
                retries: count.retries,
            })
            .collect(),
        waiting: update.waiting.iter().map(encode_queue_update).collect(),
        count_window_ms: whole_millis(update.count_window),
        last_fence: update.last_fence,
        paused: update.paused.clone(),
        draining: update.draining.clone(),
        estimates: update.estimates.iter().map(encode_estimate).collect(),
        last_order_age_ms: whole_millis(update.last_order_age),
        known: update
            .known
            .iter()
            .map(|address| address.to_bits())
            .collect(),
    };
    prost::Message::encode_to_vec(&message)
}

/// Decodes a state update.
///
/// # Errors
///
/// Returns the codec's error when the bytes aren't a valid state update.
pub fn decode(bytes: &[u8]) -> Result<relay::InstanceUpdate, prost::DecodeError> {
    let message = <UpdateMessage as prost::Message>::decode(bytes)?;
    Ok(relay::InstanceUpdate::builder()
        .address(net::Ipv4Addr::from_bits(message.address))
        .incarnation(message.incarnation)
        .sequence(message.sequence)
        .partial(message.partial)
        // A change that can't be decoded is dropped; the receiver reads the store instead.
        .maybe_delta(serde_json::from_slice(&message.delta).ok())
        .leaving(message.leaving)
        .position(relay::ViewPosition::new(message.era, message.revision))
        .config_version(message.config_version)
        .fingerprint(message.fingerprint)
        .view_age(time::Duration::from_millis(u64::from(message.view_age_ms)))
        .usage(
            message
                .usage
                .iter()
                .map(|usage| (usage.server, decode_usage(usage)))
                .collect(),
        )
        .waiting(message.waiting.iter().map(decode_queue_update).collect())
        .count_window(time::Duration::from_millis(u64::from(
            message.count_window_ms,
        )))
        .last_fence(message.last_fence)
        .paused(message.paused)
        .draining(message.draining)
        .estimates(message.estimates.iter().map(decode_estimate).collect())
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

/// Encodes a change of the platform's list of backend servers. Returns no bytes when the change is
/// too large for a datagram; the receivers read the store instead.
fn encode_delta(delta: &relay::ListDelta) -> Vec<u8> {
    serde_json::to_vec(delta)
        .ok()
        .filter(|bytes| bytes.len() <= MAX_DELTA_BYTES)
        .unwrap_or_default()
}

fn encode_estimate((service, estimate): &(u64, relay::ServiceEstimate)) -> EstimateMessage {
    EstimateMessage {
        service: *service,
        requests: estimate.requests,
        streams: estimate.streams,
        prefill_weight: estimate.prefill.weight as f32,
        prefill_input: estimate.prefill.input as f32,
        prefill_value: estimate.prefill.value as f32,
        prefill_squared_input: estimate.prefill.squared_input,
        prefill_product: estimate.prefill.product,
        handoff_ms: estimate.handoff_millis as f32,
        deviation_ms: estimate.deviation_millis as f32,
        decode_rate: estimate.decode_rate as f32,
        slot_ms: estimate.slot_millis as f32,
        prompt_tokens: estimate.prompt_tokens as f32,
        mean_tokens: estimate.mean_tokens as f32,
        log_mean: estimate.lengths.log_mean as f32,
        log_variance: estimate.lengths.log_variance as f32,
        hint_variance: estimate.lengths.hint_variance as f32,
    }
}

fn decode_estimate(message: &EstimateMessage) -> (u64, relay::ServiceEstimate) {
    let estimate = relay::ServiceEstimate {
        requests: message.requests,
        streams: message.streams,
        prefill: relay::LinearFit {
            weight: f64::from(message.prefill_weight),
            input: f64::from(message.prefill_input),
            value: f64::from(message.prefill_value),
            squared_input: message.prefill_squared_input,
            product: message.prefill_product,
        },
        handoff_millis: f64::from(message.handoff_ms),
        deviation_millis: f64::from(message.deviation_ms),
        decode_rate: f64::from(message.decode_rate),
        slot_millis: f64::from(message.slot_ms),
        prompt_tokens: f64::from(message.prompt_tokens),
        mean_tokens: f64::from(message.mean_tokens),
        lengths: relay::LengthEstimator {
            log_mean: f64::from(message.log_mean),
            log_variance: f64::from(message.log_variance),
            hint_variance: f64::from(message.hint_variance),
        },
    };
    (message.service, estimate)
}

fn encode_queue_update(update: &relay::QueueUpdate) -> QueueMessage {
    QueueMessage {
        service: update.service,
        resumes: update.resumes,
        priority: u32::from(update.priority),
        held: update.load.held,
        remaining: update.load.remaining,
        due_in_ms: update.due_in_millis,
        timely_for_ms: whole_millis(update.timely_for),
        selection_seed: update.selection_seed,
    }
}

fn decode_queue_update(message: &QueueMessage) -> relay::QueueUpdate {
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

fn whole_millis(duration: time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
