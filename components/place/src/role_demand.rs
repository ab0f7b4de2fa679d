//! How the engines of a cell should be shared between the roles.

use std::time;

use crate::cell_state;

/// Time between two samples.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Part by which one sample moves the smoothed use.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Use above which a role is short of engines.
const BUSY_UTILIZATION: f64 = 0.85;

/// Use below which a role can spare an engine.
const IDLE_UTILIZATION: f64 = 0.6;

/// Time for which a shortage must last.
const SHORTAGE_DURATION: time::Duration = time::Duration::from_secs(20);

/// Time after a change in which no other one is asked for.
const SETTLE_DURATION: time::Duration = time::Duration::from_secs(60);

/// How the engines of a cell should be shared between the roles, with hysteresis.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleDemand {
    prefill_utilization: f64,
    decode_utilization: f64,
    next_sample: clock::Moment,
    wanted: i32,
    /// Direction of the present shortage and its beginning.
    shortage: Option<(i32, clock::Moment)>,
    settled_at: clock::Moment,
}

impl RoleDemand {
    /// Samples the use of both roles; returns the wanted change of prefill engines if it differs
    /// from what was returned last.
    pub fn sample(&mut self, now: clock::Moment, book: &cell_state::CellState) -> Option<i32> {
        if now < self.next_sample {
            return None;
        }
        self.next_sample = now + SAMPLE_INTERVAL;
        let (prefill_utilization, decode_utilization) = current_utilization(book);
        self.prefill_utilization +=
            SMOOTHING_FACTOR * (prefill_utilization - self.prefill_utilization);
        self.decode_utilization +=
            SMOOTHING_FACTOR * (decode_utilization - self.decode_utilization);
        self.update_shortage(now);
        let wanted = self.requested_change(now);
        let settled = self.settled_at == clock::Moment::default() || now >= self.settled_at;
        if wanted == self.wanted || !settled {
            return None;
        }
        self.wanted = wanted;
        self.settled_at = now + SETTLE_DURATION;
        Some(wanted)
    }

    fn update_shortage(&mut self, now: clock::Moment) {
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
        if self.shortage.is_none_or(|(known, _)| known != direction) {
            self.shortage = Some((direction, now));
        }
    }

    fn requested_change(&self, now: clock::Moment) -> i32 {
        self.shortage
            .filter(|(_, since)| *since + SHORTAGE_DURATION <= now)
            .map_or(self.wanted, |(direction, _)| direction)
    }
}

/// Returns the share of busy prefill engines and of held decode slots.
fn current_utilization(book: &cell_state::CellState) -> (f64, f64) {
    let mut prefills = (0_u32, 0_u32);
    let mut slots = (0_u32, 0_u32);
    for (_, engine) in book.engines() {
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
