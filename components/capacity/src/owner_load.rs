//! The cost of placements at the owner of a cell.

use std::{sync, time};

use crate::{cost_row, flow_load, load_error, sample_site, usage_probe};

/// Sizes that are measured, in engines of the cell.
const SIZES: [usize; 3] = [16, 32, 64];

/// Placements that are granted at each size.
const PLACEMENTS: u32 = 20_000;

/// Leases held beside, for each engine of the cell.
const LEASES_PER_ENGINE: usize = 7;

/// Time between two requests at the owner, at full size.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(53);

/// Measures an ask, its grant and the news of its lease beside many held leases.
pub(crate) fn measure() -> Result<Vec<cost_row::CostRow>, load_error::LoadError> {
    SIZES.into_iter().map(measure_size).collect()
}

fn measure_size(size: usize) -> Result<cost_row::CostRow, load_error::LoadError> {
    let before = usage_probe::held_kilobytes();
    let mut site = OwnerSite::new(size)?;
    let held_leases = size * LEASES_PER_ENGINE;
    for number in 0..held_leases {
        site.begin(number as u128);
    }
    let held = usage_probe::held_kilobytes().saturating_sub(before);
    (site.sent_bytes, site.granted) = (0, 0);
    let unit_us = usage_probe::unit_micros(PLACEMENTS, || {
        for number in 0..PLACEMENTS {
            site.begin(held_leases as u128 + u128::from(number));
            site.end_oldest();
        }
    })?;
    Ok(cost_row::CostRow {
        part: "owner: one placement from ask to release",
        size_of: "engines of the cell",
        size,
        unit: "placement",
        unit_us,
        unit_bytes: Some(f64::from(site.sent_bytes) / f64::from(site.granted.max(1))),
        held_kilobytes: Some(held),
    })
}

/// The owner of one cell and the leases that an entry holds.
struct OwnerSite {
    owner: place::CellOwner,
    cell: ids::CellId,
    now: clock::Timestamp,
    held: std::collections::VecDeque<(ids::RequestId, ids::LeaseId)>,
    sent_bytes: u32,
    granted: u32,
}

impl OwnerSite {
    fn new(engines: usize) -> Result<Self, load_error::LoadError> {
        let state = sync::Arc::new(sample_site::state(engines)?);
        let cell = place::cell::cells(&state)
            .first()
            .map_or_else(ids::CellId::default, |cell| cell.id);
        let mut site = Self {
            owner: place::CellOwner::new(ids::InstanceId(1), 1),
            cell,
            now: clock::Timestamp::from_millis(1_000),
            held: std::collections::VecDeque::new(),
            sent_bytes: 0,
            granted: 0,
        };
        site.give(place::Input::State(state));
        site.give(place::Input::View(sync::Arc::new(sample_site::view(1, 1))));
        for number in 0..engines {
            let name = sample_site::engine_name(number);
            site.give(place::Input::Running(name, Some(Vec::new())));
        }
        let claims = place::Message::Claims(cell, Vec::new(), true);
        site.give(place::Input::Message(ids::InstanceId(1), claims));
        Ok(site)
    }

    fn begin(&mut self, request: u128) {
        self.now = self.now + REQUEST_INTERVAL;
        self.give(place::Input::Wake);
        let ask = place::PlaceAsk::builder()
            .cell(self.cell)
            .request(ids::RequestId(request))
            .attempt(ids::AttemptNumber(0))
            .class(sample_site::class_name(0))
            .workspace("workspace-00001")
            .model(sample_site::model_name(0))
            .prompt_tokens(1_000_u32)
            .max_tokens(500_u32)
            .prefix_blocks(vec![1, 2, 3, 4])
            .first_token_within(time::Duration::from_millis(700))
            .build();
        self.tell(place::Message::Ask(ask));
        let latest = self.held.back().copied();
        if let Some((request, lease)) = latest {
            self.update(request, lease, place::LeasePhase::Transfer, 0);
            self.update(request, lease, place::LeasePhase::Decode, 1);
        }
    }

    fn end_oldest(&mut self) {
        if let Some((request, lease)) = self.held.pop_front() {
            self.update(request, lease, place::LeasePhase::Released, 450);
        }
    }

    fn update(
        &mut self,
        request: ids::RequestId,
        lease: ids::LeaseId,
        phase: place::LeasePhase,
        generated_tokens: u32,
    ) {
        self.tell(place::Message::Updates(vec![place::LeaseUpdate {
            lease,
            request,
            phase,
            generated_tokens,
        }]));
    }

    fn tell(&mut self, message: place::Message) {
        self.give(place::Input::Message(ids::InstanceId(1), message));
    }

    fn give(&mut self, input: place::Input) {
        let mut outputs = Vec::new();
        self.owner.handle(self.now, input, &mut outputs);
        for output in outputs {
            let place::Output::Send(_, message) = output else {
                continue;
            };
            self.sent_bytes += flow_load::message_bytes(&message);
            if let place::Message::Placed(placement) = message {
                self.granted += 1;
                self.held.push_back((placement.request, placement.lease));
            }
        }
    }
}
