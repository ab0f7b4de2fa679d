//! The cost of model requests at their entry instance.

use std::{sync, time};

use crate::{cost_row, load_error, sample_site, usage_probe};

/// Sizes that are measured, in requests under way.
const SIZES: [usize; 3] = [120, 240, 480];

/// Requests that are carried through at each size.
const REQUESTS: u32 = 10_000;

/// Progress reports of one request.
const REPORTS: u32 = 70;

/// Bytes of an instance's link that one message costs beyond its body.
const ENVELOPE_BYTES: u32 = 30;

/// Measures the whole way of a request beside others under way.
pub(crate) fn measure() -> Result<Vec<cost_row::CostRow>, load_error::LoadError> {
    SIZES.into_iter().map(measure_size).collect()
}

fn measure_size(size: usize) -> Result<cost_row::CostRow, load_error::LoadError> {
    let mut site = FlowSite::new()?;
    let before = usage_probe::held_kilobytes();
    for number in 0..size {
        site.begin(number as u128);
    }
    let held = usage_probe::held_kilobytes().saturating_sub(before);
    site.sent_bytes = 0;
    let unit_us = usage_probe::unit_micros(REQUESTS, || {
        for number in 0..REQUESTS {
            let request = size as u128 + u128::from(number);
            site.begin(request);
            site.end(request - size as u128);
        }
    })?;
    Ok(cost_row::CostRow {
        part: "entry: one request from arrival to its end",
        size_of: "requests under way",
        size,
        unit: "request",
        unit_us,
        unit_bytes: Some(f64::from(site.sent_bytes) / f64::from(REQUESTS)),
        held_kilobytes: Some(held),
    })
}

/// One entry instance whose owner grants everything.
struct FlowSite {
    table: flow::FlowTable,
    now: clock::Timestamp,
    outputs: Vec<flow::Output>,
    sent_bytes: u32,
}

impl FlowSite {
    fn new() -> Result<Self, load_error::LoadError> {
        let mut site = Self {
            table: flow::FlowTable::new(ids::InstanceId(1), 1),
            now: clock::Timestamp::from_millis(1_000),
            outputs: Vec::new(),
            sent_bytes: 0,
        };
        let state = sync::Arc::new(sample_site::state(sample_site::FULL_ENGINES)?);
        site.give(flow::Input::View(sync::Arc::new(sample_site::view(380, 1))));
        site.give(flow::Input::State(state));
        Ok(site)
    }

    fn begin(&mut self, request: u128) {
        self.now = self.now + time::Duration::from_millis(50);
        self.give(flow::Input::Wake);
        let id = ids::RequestId(request);
        let attempt = ids::AttemptNumber(0);
        self.give(flow::Input::Arrived(spec(id)));
        let placed = place::Message::Placed(placement(id));
        self.give(flow::Input::Place(ids::InstanceId(2), placed));
        let cache = border::PrefillResult {
            kv_handle: 1,
            prompt_tokens: 1_000,
            cached_tokens: 0,
            retention_ms: 800,
        };
        self.give(flow::Input::Prefilled(id, attempt, Ok(cache)));
        self.give(flow::Input::Imported(id, attempt, Ok(())));
        for report in 1..=REPORTS {
            self.give(flow::Input::Delivered(id, attempt, report * 6));
        }
    }

    fn end(&mut self, request: u128) {
        self.give(flow::Input::DecodeEnded(
            ids::RequestId(request),
            ids::AttemptNumber(0),
            450,
            Ok(border::FinishReason::Stop),
        ));
    }

    fn give(&mut self, input: flow::Input) {
        self.outputs.clear();
        self.table.handle(self.now, input, &mut self.outputs);
        for output in &self.outputs {
            if let flow::Output::Send(_, message) = output {
                self.sent_bytes += message_bytes(message);
            }
        }
    }
}

/// Returns the size of a placement message on the link between two instances.
pub(crate) fn message_bytes(message: &place::Message) -> u32 {
    let body = wire::proto::PlaceMessage::from(message.clone());
    let length = prost::Message::encoded_len(&body);
    u32::try_from(length).unwrap_or(u32::MAX) + ENVELOPE_BYTES
}

fn spec(request: ids::RequestId) -> flow::FlowSpec {
    flow::FlowSpec::builder()
        .request(request)
        .workspace("workspace-00001")
        .class(sample_site::class_name(0))
        .model(sample_site::model_name(0))
        .prompt_tokens(1_000_u32)
        .max_tokens(500_u32)
        .prefix_blocks(vec![1, 2, 3, 4])
        .build()
}

fn placement(request: ids::RequestId) -> place::Placement {
    place::Placement::builder()
        .request(request)
        .attempt(ids::AttemptNumber(0))
        .lease(ids::LeaseId {
            owner: ids::InstanceId(2),
            term: 1,
            sequence: u64::try_from(request.0).unwrap_or(0),
        })
        .prefill(sample_site::engine_name(0))
        .decode(sample_site::engine_name(1))
        .kv_pieces(1_u32)
        .start_in(time::Duration::ZERO)
        .expires_in(place::LEASE_DURATION)
        .build()
}
