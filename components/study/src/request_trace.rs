//! What became of a request.

use crate::{request_plan, site_mix};

/// What became of a request.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    /// What was offered.
    pub plan: request_plan::RequestPlan,
    /// Instance it arrived at.
    pub core: Option<usize>,
    /// Attempt whose tokens the caller gets.
    pub attempt: ids::AttemptNumber,
    /// Whether an engine was asked to read the prompt.
    pub placed: bool,
    /// Prompt tokens read for it, over all attempts.
    pub read_tokens: u64,
    /// Prompt tokens read for the last attempt.
    pub last_read: u64,
    /// Tokens the caller has.
    pub delivered: u32,
    /// Time of the first token.
    pub first_at: Option<clock::Timestamp>,
    /// Time of the last token so far.
    pub last_at: clock::Timestamp,
    /// Whether the whole answer came.
    pub answered: bool,
    /// Whether it was refused before any engine had it.
    pub refused: Option<place::RefusalReason>,
    /// Time it ended at its instance.
    pub ended_at: Option<clock::Timestamp>,
    /// Steps taken, for the trace of a missed target.
    pub steps: Vec<(clock::Timestamp, String)>,
}

impl RequestTrace {
    /// Makes the trace of a request that hasn't arrived.
    pub const fn new(plan: request_plan::RequestPlan) -> Self {
        Self {
            plan,
            core: None,
            attempt: ids::AttemptNumber(0),
            placed: false,
            read_tokens: 0,
            last_read: 0,
            delivered: 0,
            first_at: None,
            last_at: clock::Timestamp::from_micros(0),
            answered: false,
            refused: None,
            ended_at: None,
            steps: Vec::new(),
        }
    }

    /// Returns the time to the first token, in milliseconds.
    pub fn first_ms(&self) -> Option<f64> {
        let first = self.first_at?;
        Some(first.since(self.plan.at).as_secs_f64() * 1e3)
    }

    /// Returns the mean time between the tokens so far, in milliseconds.
    pub fn pace_ms(&self) -> Option<f64> {
        let gaps = self.delivered.checked_sub(1).filter(|gaps| *gaps > 0)?;
        let span = self.last_at.since(self.first_at?);
        Some(span.as_secs_f64() * 1e3 / f64::from(gaps))
    }

    /// Returns whether the whole answer came within both targets.
    pub fn is_good(&self) -> bool {
        let first = self.first_at.map(|at| at.since(self.plan.at));
        let in_time = first.is_some_and(|first| first <= site_mix::FIRST_TOKEN_TARGET);
        let target = site_mix::PACE_TARGET.as_secs_f64() * 1e3;
        let paced = self.pace_ms().is_none_or(|pace| pace <= target);
        self.answered && in_time && paced
    }
}
