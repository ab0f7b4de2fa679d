//! The times of one answer.

use std::time;

/// The times of one answer, from which its metrics follow.
#[derive(Clone, Debug)]
pub(crate) struct AnswerClock {
    pub(crate) class: ids::ClassName,
    pub(crate) arrived: clock::Timestamp,
    first: Option<clock::Timestamp>,
    last: clock::Timestamp,
    tokens: u32,
}

impl AnswerClock {
    /// Starts the times of a request that arrived at `now`.
    pub(crate) const fn new(class: ids::ClassName, now: clock::Timestamp) -> Self {
        Self {
            class,
            arrived: now,
            first: None,
            last: now,
            tokens: 0,
        }
    }

    /// Notes that the caller has `tokens`; returns whether the first is among the new ones.
    pub(crate) fn deliver(&mut self, now: clock::Timestamp, tokens: u32) -> bool {
        if tokens <= self.tokens {
            return false;
        }
        let is_first = self.first.is_none();
        self.first.get_or_insert(now);
        self.last = now;
        self.tokens = tokens;
        is_first
    }

    /// Returns the time to the first token, once there is one.
    pub(crate) fn first_token(&self) -> Option<time::Duration> {
        self.first.map(|first| first.since(self.arrived))
    }

    /// Returns the mean time between tokens, once there are two.
    pub(crate) fn token_gap(&self) -> Option<time::Duration> {
        let gaps = self.tokens.checked_sub(1).filter(|gaps| *gaps > 0)?;
        Some(self.last.since(self.first?) / gaps)
    }

    /// Returns whether the answer met the targets of its class.
    pub(crate) fn timing(&self, targets: &note::GenerationClass) -> meter::AnswerTiming {
        let first_token = time::Duration::from_millis(u64::from(targets.first_token_ms));
        let pace = time::Duration::from_millis(u64::from(targets.token_pace_ms));
        if self.first_token().is_none_or(|taken| taken > first_token) {
            return meter::AnswerTiming::FirstTokenLate;
        }
        if self.token_gap().is_some_and(|gap| gap > pace) {
            return meter::AnswerTiming::TooSlow;
        }
        meter::AnswerTiming::InTime
    }
}
