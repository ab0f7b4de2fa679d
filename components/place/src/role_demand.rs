//! Demand for prefill and decode engines in a cell.

use std::time;

use crate::cell_state;

/// Interval between samples.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Weight of a new sample in the exponential moving average of the utilization.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Utilization above which a role needs more engines.
const BUSY_UTILIZATION: f64 = 0.85;

/// Utilization below which an engine of a role may change to the other role.
const IDLE_UTILIZATION: f64 = 0.6;

/// Time for which a shortage must last before it is reported.
const SHORTAGE_DURATION: time::Duration = time::Duration::from_secs(20);

/// Time after a reported change during which no other change is reported.
const COOLDOWN: time::Duration = time::Duration::from_secs(60);

/// Demand for a change of the engines' roles in a cell, with hysteresis.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleDemand {
    prefill_utilization: f64,
    decode_utilization: f64,
    next_sample: clock::Timestamp,
    /// Last requested change in the number of prefill engines.
    change: i32,
    /// Direction of the current shortage, 0 if there is none, and the time it began.
    shortage: Option<(i32, clock::Timestamp)>,
    cooldown_until: clock::Timestamp,
}

impl RoleDemand {
    /// Samples the utilization of both roles.
    ///
    /// Returns the requested change in the number of prefill engines if it differs from the last
    /// one returned.
    pub fn sample(
        &mut self,
        now: clock::Timestamp,
        cell_state: &cell_state::CellState,
    ) -> Option<i32> {
        if now < self.next_sample {
            return None;
        }
        self.next_sample = now + SAMPLE_INTERVAL;
        let (prefill_utilization, decode_utilization) = current_utilization(cell_state);
        self.prefill_utilization +=
            SMOOTHING_FACTOR * (prefill_utilization - self.prefill_utilization);
        self.decode_utilization +=
            SMOOTHING_FACTOR * (decode_utilization - self.decode_utilization);
        self.update_shortage(now);
        let change = self.requested_change(now);
        let is_cooled_down =
            self.cooldown_until == clock::Timestamp::default() || now >= self.cooldown_until;
        if change == self.change || !is_cooled_down {
            return None;
        }
        self.change = change;
        self.cooldown_until = now + COOLDOWN;
        Some(change)
    }

    fn update_shortage(&mut self, now: clock::Timestamp) {
        let direction = if self.prefill_utilization > BUSY_UTILIZATION
            && self.decode_utilization < IDLE_UTILIZATION
        {
            1
        } else if self.decode_utilization > BUSY_UTILIZATION
            && self.prefill_utilization < IDLE_UTILIZATION
        {
            -1
        } else {
            0
        };
        if self
            .shortage
            .is_none_or(|(previous, _)| previous != direction)
        {
            self.shortage = Some((direction, now));
        }
    }

    fn requested_change(&self, now: clock::Timestamp) -> i32 {
        self.shortage
            .filter(|(_, since)| *since + SHORTAGE_DURATION <= now)
            .map_or(self.change, |(direction, _)| direction)
    }
}

/// Returns the fractions of busy prefill engines and of held decode slots.
fn current_utilization(cell_state: &cell_state::CellState) -> (f64, f64) {
    let mut prefills = (0_u32, 0_u32);
    let mut slots = (0_u32, 0_u32);
    for (_, engine) in cell_state.engines() {
        if engine.may_prefill() {
            prefills.0 += u32::from(!engine.prefills.is_empty());
            prefills.1 += 1;
        }
        if engine.may_decode() {
            slots.0 += engine.held_slots();
            slots.1 += engine.entry.decode_slots;
        }
    }
    (share(prefills), share(slots))
}

fn share((part, whole): (u32, u32)) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}
