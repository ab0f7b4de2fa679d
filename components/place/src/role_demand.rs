//! How the engines of a cell should be shared between the roles.

use std::time;

use crate::cell_book;

/// Time between two samples.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Part by which one sample moves the smoothed use.
const SAMPLE_STEP: f64 = 0.1;

/// Use above which a role is short of engines.
const BUSY: f64 = 0.85;

/// Use below which a role can spare an engine.
const IDLE: f64 = 0.6;

/// Time for which a shortage must last.
const SHORTAGE_SPAN: time::Duration = time::Duration::from_secs(20);

/// Time after a change in which no other one is asked for.
const SETTLE_SPAN: time::Duration = time::Duration::from_secs(60);

/// How the engines of a cell should be shared between the roles, with hysteresis.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleDemand {
    prefill_use: f64,
    decode_use: f64,
    next_sample: clock::Timestamp,
    wanted: i32,
    /// Direction of the present shortage and its beginning.
    shortage: Option<(i32, clock::Timestamp)>,
    settled_at: clock::Timestamp,
}

impl RoleDemand {
    /// Samples the use of both roles; returns the wanted change of prefill engines if it differs
    /// from what was returned last.
    pub fn sample(
        &mut self,
        now: clock::Timestamp,
        cell_state: &cell_book::CellBook,
    ) -> Option<i32> {
        if now < self.next_sample {
            return None;
        }
        self.next_sample = now + SAMPLE_INTERVAL;
        let (prefill_use, decode_use) = current_use(cell_state);
        self.prefill_use += SAMPLE_STEP * (prefill_use - self.prefill_use);
        self.decode_use += SAMPLE_STEP * (decode_use - self.decode_use);
        self.follow_shortage(now);
        let wanted = self.lasting_shortage(now);
        let settled = self.settled_at == clock::Timestamp::default() || now >= self.settled_at;
        if wanted == self.wanted || !settled {
            return None;
        }
        self.wanted = wanted;
        self.settled_at = now + SETTLE_SPAN;
        Some(wanted)
    }

    fn follow_shortage(&mut self, now: clock::Timestamp) {
        let direction = if self.prefill_use > BUSY && self.decode_use < IDLE {
            1
        } else if self.decode_use > BUSY && self.prefill_use < IDLE {
            -1
        } else {
            0
        };
        if self.shortage.is_none_or(|(known, _)| known != direction) {
            self.shortage = Some((direction, now));
        }
    }

    fn lasting_shortage(&self, now: clock::Timestamp) -> i32 {
        self.shortage
            .filter(|(_, since)| *since + SHORTAGE_SPAN <= now)
            .map_or(self.wanted, |(direction, _)| direction)
    }
}

/// Returns the share of busy prefill engines and of held decode slots.
fn current_use(cell_state: &cell_book::CellBook) -> (f64, f64) {
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
