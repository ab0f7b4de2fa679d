//! The published changes of a prefix cache.

use std::{collections, time};

use rand::{RngExt as _, SeedableRng as _};

/// Events kept for readers.
const EVENT_LIMIT: usize = 4_096;

/// A change and when it happened.
#[derive(Clone, Debug)]
struct LoggedChange {
    sequence: u64,
    at: clock::Timestamp,
    block: u64,
    stored: bool,
}

/// The published changes of a prefix cache: late, and some are lost.
#[derive(Clone, Debug)]
pub struct CacheLog {
    delay: time::Duration,
    loss_permille: u32,
    events: collections::VecDeque<LoggedChange>,
    sequence: u64,
    random: rand_chacha::ChaCha8Rng,
}

impl CacheLog {
    /// Makes an empty log.
    pub fn new(delay: time::Duration, loss_permille: u32, seed: u64) -> Self {
        Self {
            delay,
            loss_permille,
            events: collections::VecDeque::new(),
            sequence: 0,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Records changes.
    pub fn record(&mut self, now: clock::Timestamp, changes: &[(u64, bool)]) {
        for (block, stored) in changes {
            self.sequence += 1;
            if self.random.random_range(0..1_000) < self.loss_permille {
                continue;
            }
            if self.events.len() == EVENT_LIMIT {
                self.events.pop_front();
            }
            self.events.push_back(LoggedChange {
                sequence: self.sequence,
                at: now,
                block: *block,
                stored: *stored,
            });
        }
    }

    /// Returns the events published after a sequence number.
    pub fn read(&self, now: clock::Timestamp, after: u64) -> Vec<border::CacheEvent> {
        let from = self.events.partition_point(|event| event.sequence <= after);
        self.events
            .iter()
            .skip(from)
            .take_while(|event| event.at + self.delay <= now)
            .map(|event| border::CacheEvent {
                sequence: event.sequence,
                age_ms: u32::try_from(now.since(event.at).as_millis()).unwrap_or(u32::MAX),
                block: event.block,
                stored: event.stored,
            })
            .collect()
    }
}
