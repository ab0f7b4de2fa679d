//! Publishes the free capacity of a cell to the entry instances.

use std::time;

use crate::{capacity_advert, cell_planner, message, output, owner_context};

/// Minimum interval between capacity updates.
pub const ADVERT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Number of consecutive updates that are skipped while the capacity changes little.
const UNCHANGED_SKIP_LIMIT: u32 = 4;

/// Divisor of the free slots that gives the difference above which an update is sent.
const CHANGE_DIVISOR: u32 = 10;

/// Publishes the free capacity of a cell; holds the last update sent.
#[derive(Clone, Debug, Default)]
pub struct CapacityPublisher {
    last_sent: Option<capacity_advert::CapacityAdvert>,
    skipped: u32,
    next_due: clock::Timestamp,
}

impl CapacityPublisher {
    /// Appends a capacity update for each usable instance of the cell's region if one is due and
    /// the capacity has changed or enough updates were skipped.
    pub fn emit_due(
        &mut self,
        now: clock::Timestamp,
        planner: &cell_planner::CellPlanner,
        context: &owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) {
        if now < self.next_due {
            return;
        }
        self.next_due = now + ADVERT_INTERVAL;
        let advert = capacity_advert(now, planner);
        let changed = self
            .last_sent
            .as_ref()
            .is_none_or(|last_sent| differs(last_sent, &advert));
        if !changed && self.skipped < UNCHANGED_SKIP_LIMIT {
            self.skipped += 1;
            return;
        }
        self.skipped = 0;
        self.last_sent = Some(advert.clone());
        for member in context.view.usable() {
            if member.instance.region == planner.cell.region {
                let message = message::Message::Capacity(vec![advert.clone()]);
                outputs.push(output::Output::Send(member.instance.id, message));
            }
        }
    }
}

fn capacity_advert(
    now: clock::Timestamp,
    planner: &cell_planner::CellPlanner,
) -> capacity_advert::CapacityAdvert {
    let mut free_slots = 0;
    let mut free_pieces = 0;
    let mut first_free = clock::Timestamp::MAX;
    for (_, engine) in planner.cell_state.engines() {
        if engine.may_decode() {
            free_slots += engine
                .entry
                .decode_slots
                .saturating_sub(engine.held_slots());
            free_pieces += engine.free_pieces();
        }
        if engine.may_prefill() {
            first_free = first_free.min(engine.prefill_free_at(now));
        }
    }
    // The published wait is at most 60 s.
    let wait = first_free.since(now).min(time::Duration::from_secs(60));
    capacity_advert::CapacityAdvert {
        cell: planner.cell.id,
        free_slots,
        free_pieces,
        prefill_wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
    }
}

/// Returns whether the free slots, or the prefill wait by more than 100 ms, differ enough to send.
fn differs(
    last_sent: &capacity_advert::CapacityAdvert,
    advert: &capacity_advert::CapacityAdvert,
) -> bool {
    let threshold = last_sent.free_slots / CHANGE_DIVISOR + 1;
    last_sent.free_slots.abs_diff(advert.free_slots) > threshold
        || last_sent.prefill_wait_ms.abs_diff(advert.prefill_wait_ms) > 100
}
