//! The load of an engine over the last while.

use std::{collections, time};

/// The load of an engine over the last while.
#[derive(Clone, Debug, Default)]
pub struct LoadLog {
    samples: collections::VecDeque<(clock::Timestamp, border::LoadReport)>,
}

impl LoadLog {
    /// Records the load at `now` and forgets what is older than `kept`, but for one sample.
    pub fn record(
        &mut self,
        now: clock::Timestamp,
        report: border::LoadReport,
        kept: time::Duration,
    ) {
        match self.samples.back_mut() {
            Some((_, last)) if *last == report => return,
            Some((at, last)) if *at == now => *last = report,
            _ => self.samples.push_back((now, report)),
        }
        let oldest = now.before(kept);
        while self.samples.get(1).is_some_and(|(at, _)| *at <= oldest) {
            self.samples.pop_front();
        }
    }

    /// Returns the load as it was `lag` ago.
    pub fn read(&self, now: clock::Timestamp, lag: time::Duration) -> border::LoadReport {
        let then = now.before(lag);
        let upto = self.samples.partition_point(|(at, _)| *at <= then);
        let sample = upto.checked_sub(1).and_then(|last| self.samples.get(last));
        let mut report = sample.map_or(
            border::LoadReport {
                age_ms: 0,
                decoding: 0,
                kv_pieces_held: 0,
                queued_prompt_tokens: 0,
            },
            |(_, report)| report.clone(),
        );
        report.age_ms = u32::try_from(lag.as_millis()).unwrap_or(u32::MAX);
        report
    }
}
