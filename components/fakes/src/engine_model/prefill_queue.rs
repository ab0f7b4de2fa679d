//! The prompts that wait to be read and the one being read.

use std::collections;

use crate::engine_model::{prefill_work, work_key};

/// Place in the queue: priority, highest first, then arrival.
type QueuePlace = (std::cmp::Reverse<u8>, u64);

/// A prompt being read.
#[derive(Clone, Debug)]
pub struct ReadPrompt {
    /// The prompt.
    pub work: prefill_work::PrefillWork,
    /// Tokens that came from the prefix cache.
    pub cached_tokens: u32,
    /// Time reading began.
    pub since: clock::Timestamp,
    /// Time reading ends.
    pub until: clock::Timestamp,
}

/// The prompts that wait to be read and the one being read.
#[derive(Clone, Debug, Default)]
pub struct PrefillQueue {
    /// Waiting prompts with the time each came.
    pub waiting: collections::BTreeMap<QueuePlace, (prefill_work::PrefillWork, clock::Timestamp)>,
    /// The prompt being read.
    pub reading: Option<ReadPrompt>,
    arrivals: u64,
}

impl PrefillQueue {
    /// Adds a prompt.
    pub fn push(&mut self, now: clock::Timestamp, work: prefill_work::PrefillWork) {
        self.arrivals += 1;
        let place = (std::cmp::Reverse(work.priority), self.arrivals);
        self.waiting.insert(place, (work, now));
    }

    /// Returns whether the attempt waits or is being read.
    pub fn holds(&self, key: work_key::WorkKey) -> bool {
        self.waiting.values().any(|(work, _)| work.key == key)
            || self
                .reading
                .as_ref()
                .is_some_and(|prompt| prompt.work.key == key)
    }

    /// Removes the attempt.
    pub fn remove(&mut self, key: work_key::WorkKey) {
        self.waiting.retain(|_, (work, _)| work.key != key);
        self.reading.take_if(|prompt| prompt.work.key == key);
    }

    /// Returns the prompt tokens that wait or are being read.
    pub fn queued_tokens(&self) -> u64 {
        let waiting = self.waiting.values().map(|(work, _)| work.prompt_tokens);
        let reading = self.reading.iter().map(|prompt| prompt.work.prompt_tokens);
        waiting.chain(reading).map(u64::from).sum()
    }
}
