//! When an instance calls the configuration service.

use std::time;

use rand::RngExt as _;

use crate::output;

/// Time after which a watch that hasn't answered is replaced by a new one.
const WATCH_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Shortest time between two calls.
const CALL_GAP: time::Duration = time::Duration::from_millis(200);

/// Shortest time until the next call after an answer without anything new.
const IDLE_GAP: time::Duration = time::Duration::from_secs(1);

/// Longest time until the next call after failures.
const FAILURE_GAP_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Time that a new instance waits for notes from peers before it reads the service itself.
pub(crate) const PEERS_FIRST: time::Duration = time::Duration::from_secs(2);

/// When an instance calls the configuration service.
#[derive(Debug)]
pub(crate) struct ServiceReader {
    next_call: clock::Timestamp,
    /// Whether to read first, since what is served is unknown after a failure or at the start.
    reads: bool,
    failures: u32,
}

impl ServiceReader {
    /// Makes a reader that reads as soon as it may.
    pub(crate) const fn new() -> Self {
        Self {
            next_call: clock::Timestamp::from_micros(0),
            reads: true,
            failures: 0,
        }
    }

    /// Returns when the next call is due.
    pub(crate) const fn next_call(&self) -> clock::Timestamp {
        self.next_call
    }

    /// Puts the first read off to give peers the time to answer.
    pub(crate) fn wait_for_peers(&mut self, now: clock::Timestamp) {
        self.next_call = self.next_call.max(now + PEERS_FIRST);
    }

    /// Calls the service at `now`.
    pub(crate) fn call(
        &mut self,
        now: clock::Timestamp,
        after: ids::Revision,
        outputs: &mut Vec<output::Output>,
    ) {
        self.next_call = now + WATCH_LIMIT;
        if std::mem::take(&mut self.reads) {
            outputs.push(output::Output::ReadService(after));
        } else {
            outputs.push(output::Output::WatchService(after));
        }
    }

    /// Notes an answer.
    pub(crate) fn answered(&mut self, now: clock::Timestamp, has_news: bool) {
        self.failures = 0;
        let gap = if has_news { CALL_GAP } else { IDLE_GAP };
        self.next_call = now + gap;
    }

    /// Notes a failure; calls become rarer with each.
    pub(crate) fn failed(&mut self, now: clock::Timestamp, random: &mut rand_chacha::ChaCha8Rng) {
        let doublings = self.failures.min(8);
        self.failures += 1;
        self.reads = true;
        let gap = (IDLE_GAP * 2_u32.pow(doublings)).min(FAILURE_GAP_LIMIT);
        self.next_call = now + gap.mul_f64(random.random_range(0.5..1.0));
    }
}
