//! Schedule of the calls to the configuration service.

use std::time;

use rand::RngExt as _;

use crate::output;

/// Time after which a read or watch without a response is replaced by a new call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Minimum time between a response with new notes and the next call.
const CALL_INTERVAL_MIN: time::Duration = time::Duration::from_millis(200);

/// Time between a response without new notes and the next call; also the initial backoff.
const IDLE_CALL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Maximum backoff after failed calls.
const BACKOFF_MAX: time::Duration = time::Duration::from_secs(10);

/// Time that a new instance waits for notes from peers before it reads the service itself.
pub(crate) const PEER_GRACE_PERIOD: time::Duration = time::Duration::from_secs(2);

/// Schedule of the calls to the configuration service.
#[derive(Debug)]
pub(crate) struct ServiceSchedule {
    next_call: clock::Timestamp,
    /// Whether the next call is a read; a watch may follow only a successful read, since the served
    /// revision is unknown at the start and after a failure.
    read_next: bool,
    failures: u32,
}

impl ServiceSchedule {
    /// Creates a schedule whose first call is an immediate read.
    pub(crate) const fn new() -> Self {
        Self {
            next_call: clock::Timestamp::from_micros(0),
            read_next: true,
            failures: 0,
        }
    }

    /// Returns the time of the next call.
    pub(crate) const fn next_call(&self) -> clock::Timestamp {
        self.next_call
    }

    /// Delays the next call, so that peers have time to send their notes.
    pub(crate) fn delay_for_peers(&mut self, now: clock::Timestamp) {
        self.next_call = self.next_call.max(now + PEER_GRACE_PERIOD);
    }

    /// Reads or watches the notes after revision `after`.
    pub(crate) fn call(
        &mut self,
        now: clock::Timestamp,
        after: ids::Revision,
        outputs: &mut Vec<output::Output>,
    ) {
        self.next_call = now + CALL_TIMEOUT;
        if std::mem::take(&mut self.read_next) {
            outputs.push(output::Output::ReadService(after));
        } else {
            outputs.push(output::Output::WatchService(after));
        }
    }

    /// Records a response.
    pub(crate) fn record_response(&mut self, now: clock::Timestamp, has_new_notes: bool) {
        self.failures = 0;
        let interval = if has_new_notes {
            CALL_INTERVAL_MIN
        } else {
            IDLE_CALL_INTERVAL
        };
        self.next_call = now + interval;
    }

    /// Records a failed call; the next one follows after an exponential backoff with jitter.
    pub(crate) fn record_failure(
        &mut self,
        now: clock::Timestamp,
        random: &mut rand_chacha::ChaCha8Rng,
    ) {
        // Bounds the exponent against overflow; `BACKOFF_MAX` is reached earlier.
        let doublings = self.failures.min(8);
        self.failures += 1;
        self.read_next = true;
        let backoff = (IDLE_CALL_INTERVAL * 2_u32.pow(doublings)).min(BACKOFF_MAX);
        self.next_call = now + backoff.mul_f64(random.random_range(0.5..1.0));
    }
}
