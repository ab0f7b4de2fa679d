//! A link whose rate is shared evenly by the transfers on it.

use std::{collections, time};

/// A link whose rate is shared evenly by the transfers on it.
#[derive(Clone, Debug)]
pub struct LinkShare<Key> {
    tokens_per_second: f64,
    /// Tokens left of each transfer.
    left: collections::BTreeMap<Key, f64>,
    at: clock::Timestamp,
}

/// Part of a token below which a transfer counts as done.
const TOKEN_EPSILON: f64 = 1e-3;

impl<Key: Copy + Ord> LinkShare<Key> {
    /// Makes an idle link.
    pub fn new(tokens_per_second: u32) -> Self {
        Self {
            tokens_per_second: f64::from(tokens_per_second.max(1)),
            left: collections::BTreeMap::new(),
            at: clock::Timestamp::default(),
        }
    }

    /// Begins a transfer.
    pub fn begin(&mut self, now: clock::Timestamp, key: Key, tokens: u32) {
        self.accrue(now);
        self.left.insert(key, f64::from(tokens));
    }

    /// Ends a transfer early.
    pub fn remove(&mut self, now: clock::Timestamp, key: Key) {
        self.accrue(now);
        self.left.remove(&key);
    }

    /// Returns when the next transfer is done.
    pub fn next_wake(&self) -> clock::Timestamp {
        let shortest = self.left.values().copied().reduce(f64::min);
        shortest.map_or(clock::Timestamp::MAX, |tokens| {
            let seconds = tokens * self.sharers() / self.tokens_per_second;
            let micros = (seconds.max(0.0) * 1e6).ceil();
            self.at + time::Duration::from_secs_f64(micros / 1e6)
        })
    }

    /// Removes and returns the transfers that are done.
    pub fn take_done(&mut self, now: clock::Timestamp) -> Vec<Key> {
        self.accrue(now);
        let done: Vec<Key> = self
            .left
            .iter()
            .filter(|(_, tokens)| **tokens <= TOKEN_EPSILON)
            .map(|(key, _)| *key)
            .collect();
        for key in &done {
            self.left.remove(key);
        }
        done
    }

    fn accrue(&mut self, now: clock::Timestamp) {
        let passed = now.since(self.at).as_secs_f64();
        let moved = passed * self.tokens_per_second / self.sharers();
        for tokens in self.left.values_mut() {
            *tokens -= moved;
        }
        self.at = self.at.max(now);
    }

    fn sharers(&self) -> f64 {
        u32::try_from(self.left.len().max(1)).map_or(f64::MAX, f64::from)
    }
}
