//! Encodes the state updates between instances as Protocol Buffers messages.

use std::{net, time};

use crate::{
    crash_message, estimate_message, limit_message, origin_message, queue_message, search_message,
    share_message, spend_message, usage_message,
};

/// Maximum size of a change of the platform's list of backend servers in a state update, in bytes.
const MAX_DELTA_BYTES: usize = 4 * 1024;

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
    usage: Vec<usage_message::UsageMessage>,
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
    waiting: Vec<queue_message::QueueMessage>,
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
    estimates: Vec<estimate_message::EstimateMessage>,
    /// State updates of other instances that the sender forwards, each encoded as this message.
    #[prost(bytes = "vec", repeated, tag = "22")]
    forwarded: Vec<Vec<u8>>,
    /// Hash of the name of the sender's data centre, 0 from instances that don't send it.
    #[prost(fixed32, tag = "23")]
    data_centre: u32,
    #[prost(uint32, tag = "24")]
    capacity: u32,
    #[prost(bool, tag = "25")]
    discovering: bool,
    /// Data centres of the instances in `known`, in the same order.
    #[prost(fixed32, repeated, tag = "26")]
    known_centres: Vec<u32>,
    /// Capacities of the instances in `known`, in the same order.
    #[prost(uint32, repeated, tag = "27")]
    known_capacities: Vec<u32>,
    /// Whether the sender forwards the updates of others to the receiver.
    #[prost(bool, tag = "28")]
    forwarding: bool,
    /// Hashes of the incarnations of servers that the sender can't reach.
    #[prost(fixed64, repeated, tag = "29")]
    unreachable: Vec<u64>,
    #[prost(message, optional, tag = "30")]
    crashes: Option<crash_message::CrashMessage>,
    #[prost(message, repeated, tag = "31")]
    limits: Vec<limit_message::LimitMessage>,
    #[prost(message, repeated, tag = "32")]
    origins: Vec<origin_message::OriginMessage>,
    /// Hashes of the names of services that are out of reach.
    #[prost(fixed64, repeated, tag = "33")]
    out_of_reach: Vec<u64>,
    #[prost(message, repeated, tag = "34")]
    spending: Vec<spend_message::SpendMessage>,
    /// Whether the sender knows what the fleet has drawn on the limits of workspaces.
    #[prost(bool, tag = "35")]
    knows_spending: bool,
    #[prost(message, repeated, tag = "37")]
    shares: Vec<share_message::ShareMessage>,
    /// Whether the sender orders waiting requests by the shares of their workspaces.
    #[prost(bool, tag = "38")]
    orders_by_share: bool,
    #[prost(message, optional, tag = "40")]
    search: Option<search_message::SearchMessage>,
    /// Whether the sender tells of the prompts of its streams.
    #[prost(bool, tag = "41")]
    tells_prompts: bool,
    /// Whether the sender reads prompts without a prefill engine as long as it doesn't know those that were
    /// sent before it started.
    #[prost(bool, tag = "42")]
    marks_after_start: bool,
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

/// A datagram of another instance.
pub(crate) struct PeerDatagram {
    /// State update of the sender.
    pub(crate) update: relay::InstanceUpdate,
    /// Whether the sender forwards the updates of others to the receiver.
    pub(crate) forwarding: bool,
    /// Encoded state updates that the sender forwards.
    pub(crate) forwarded: Vec<Vec<u8>>,
}

/// Encodes a state update.
#[must_use]
pub fn encode(update: &relay::InstanceUpdate) -> Vec<u8> {
    prost::Message::encode_to_vec(&update_message(update))
}

/// Encodes the datagram of an instance that forwards state updates of others with its own.
pub(crate) fn encode_forwarding(
    update: &relay::InstanceUpdate,
    forwarded: Vec<Vec<u8>>,
) -> Vec<u8> {
    prost::Message::encode_to_vec(&UpdateMessage {
        forwarding: true,
        forwarded,
        ..update_message(update)
    })
}

fn update_message(update: &relay::InstanceUpdate) -> UpdateMessage {
    UpdateMessage {
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
            .map(|(server, usage)| usage_message::encode(*server, usage))
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
        waiting: update.waiting.iter().map(queue_message::encode).collect(),
        count_window_ms: whole_millis(update.count_window),
        last_fence: update.last_fence,
        paused: update.paused.clone(),
        draining: update.draining.clone(),
        unreachable: update.unreachable.clone(),
        crashes: crash_message::encode(&update.crashes),
        limits: update.limits.iter().map(limit_message::encode).collect(),
        origins: origin_message::encode(&update.origins),
        out_of_reach: update.out_of_reach.clone(),
        spending: update.spending.iter().map(spend_message::encode).collect(),
        knows_spending: update.knows_spending,
        shares: update.shares.iter().map(share_message::encode).collect(),
        orders_by_share: update.orders_by_share,
        tells_prompts: update.tells_prompts,
        marks_after_start: update.marks_after_start,
        search: search_message::encode(&update.search),
        estimates: update
            .estimates
            .iter()
            .map(estimate_message::encode)
            .collect(),
        last_order_age_ms: whole_millis(update.last_order_age),
        known: update
            .known
            .iter()
            .map(|known| known.address.to_bits())
            .collect(),
        known_centres: update.known.iter().map(|known| known.data_centre).collect(),
        known_capacities: update.known.iter().map(|known| known.capacity).collect(),
        data_centre: update.data_centre,
        capacity: update.capacity,
        discovering: update.discovering,
        forwarded: Vec::new(),
        forwarding: false,
    }
}

/// Decodes a state update without those that its sender forwards with it.
///
/// # Errors
///
/// Returns the codec's error when the bytes aren't a valid state update.
pub fn decode(bytes: &[u8]) -> Result<relay::InstanceUpdate, prost::DecodeError> {
    let message = <UpdateMessage as prost::Message>::decode(bytes)?;
    Ok(instance_update(message))
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns the codec's error when the bytes aren't a valid datagram.
pub(crate) fn decode_datagram(bytes: &[u8]) -> Result<PeerDatagram, prost::DecodeError> {
    let mut message = <UpdateMessage as prost::Message>::decode(bytes)?;
    let forwarded = std::mem::take(&mut message.forwarded);
    Ok(PeerDatagram {
        forwarding: message.forwarding,
        forwarded,
        update: instance_update(message),
    })
}

fn instance_update(message: UpdateMessage) -> relay::InstanceUpdate {
    let known = known_instances(&message);
    relay::InstanceUpdate::builder()
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
        .usage(message.usage.iter().map(usage_message::decode).collect())
        .waiting(message.waiting.iter().map(queue_message::decode).collect())
        .count_window(time::Duration::from_millis(u64::from(
            message.count_window_ms,
        )))
        .last_fence(message.last_fence)
        .paused(message.paused)
        .draining(message.draining)
        .unreachable(message.unreachable)
        .out_of_reach(message.out_of_reach)
        .spending(message.spending.iter().map(spend_message::decode).collect())
        .knows_spending(message.knows_spending)
        .crashes(
            message
                .crashes
                .map(crash_message::decode)
                .unwrap_or_default(),
        )
        .limits(message.limits.iter().map(limit_message::decode).collect())
        .shares(message.shares.iter().map(share_message::decode).collect())
        .orders_by_share(message.orders_by_share)
        .tells_prompts(message.tells_prompts)
        .marks_after_start(message.marks_after_start)
        .origins(
            message
                .origins
                .iter()
                .flat_map(origin_message::decode)
                .collect(),
        )
        .search(
            message
                .search
                .map(search_message::decode)
                .unwrap_or_default(),
        )
        .estimates(
            message
                .estimates
                .iter()
                .map(estimate_message::decode)
                .collect(),
        )
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
        .data_centre(message.data_centre)
        .capacity(message.capacity)
        .discovering(message.discovering)
        .known(known)
        .build()
}

/// Returns the instances that a message reports; one that omits their data centres and capacities
/// leaves these unknown.
fn known_instances(message: &UpdateMessage) -> Vec<relay::KnownInstance> {
    message
        .known
        .iter()
        .enumerate()
        .map(|(index, address)| relay::KnownInstance {
            address: net::Ipv4Addr::from_bits(*address),
            data_centre: message.known_centres.get(index).copied().unwrap_or(0),
            capacity: message.known_capacities.get(index).copied().unwrap_or(0),
        })
        .collect()
}

/// Encodes a change of the platform's list of backend servers. Returns no bytes when the change is
/// too large for a datagram; the receivers read the store instead.
fn encode_delta(delta: &relay::ListDelta) -> Vec<u8> {
    serde_json::to_vec(delta)
        .ok()
        .filter(|bytes| bytes.len() <= MAX_DELTA_BYTES)
        .unwrap_or_default()
}

/// Returns a duration in whole milliseconds.
pub(crate) fn whole_millis(duration: time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
