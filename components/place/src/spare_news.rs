//! Tells the entry instances what a cell has to spare.

use std::time;

use crate::{cell_planner, message, output, owner_context, spare_advert};

/// Shortest time between two adverts.
pub const ADVERT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Adverts that may be left out while little changes.
const ADVERT_SKIPS: u32 = 4;

/// Part of the figures, as a divisor, that counts as a change.
const CHANGE_PART: u32 = 10;

/// What was told last.
#[derive(Clone, Debug, Default)]
pub struct SpareNews {
    told: Option<spare_advert::SpareAdvert>,
    skipped: u32,
    next_at: clock::Timestamp,
}

impl SpareNews {
    /// Appends an advert for the instances of the cell's region, if it is due and tells something.
    pub fn emit_due(
        &mut self,
        now: clock::Timestamp,
        planner: &cell_planner::CellPlanner,
        context: &owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) {
        if now < self.next_at {
            return;
        }
        self.next_at = now + ADVERT_INTERVAL;
        let advert = advert_of(now, planner);
        let changed = self.told.as_ref().is_none_or(|told| differs(told, &advert));
        if !changed && self.skipped < ADVERT_SKIPS {
            self.skipped += 1;
            return;
        }
        self.skipped = 0;
        self.told = Some(advert.clone());
        for member in context.view.usable() {
            if member.instance.region == planner.cell.region {
                let message = message::Message::Spare(vec![advert.clone()]);
                outputs.push(output::Output::Send(member.instance.id, message));
            }
        }
    }
}

fn advert_of(
    now: clock::Timestamp,
    planner: &cell_planner::CellPlanner,
) -> spare_advert::SpareAdvert {
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
    let wait = first_free.since(now).min(time::Duration::from_secs(60));
    spare_advert::SpareAdvert {
        cell: planner.cell.id,
        free_slots,
        free_pieces,
        prefill_wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
    }
}

fn differs(told: &spare_advert::SpareAdvert, advert: &spare_advert::SpareAdvert) -> bool {
    let least = told.free_slots / CHANGE_PART + 1;
    told.free_slots.abs_diff(advert.free_slots) > least
        || told.prefill_wait_ms.abs_diff(advert.prefill_wait_ms) > 100
}
