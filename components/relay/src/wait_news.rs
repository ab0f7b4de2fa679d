//! What an instance tells of a request that waits there.

use std::time;

use crate::{engine_usage, stream_ask, wait_line};

/// What an instance tells of a request that waits there for a place.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder)]
pub struct QueueUpdate {
    /// Service that generates, by [`crate::service_hash`].
    pub service: u64,
    /// Whether the caller has already received a part of the answer.
    #[builder(default)]
    pub resumes: bool,
    /// Rank of the route, 0 first.
    #[builder(default)]
    pub priority: u8,
    /// What it will take of a decode engine's memory.
    pub load: engine_usage::StreamLoad,
    /// Milliseconds until the first token is due, negative when it is overdue.
    pub due_in_millis: i32,
    /// Time for which a place would still lead to a first token on time.
    pub timely_for: time::Duration,
    /// Seed of the choice of its engines, alike on all instances.
    pub selection_seed: u32,
}

impl QueueUpdate {
    /// Tells of a request that waits at `now`.
    #[must_use]
    pub fn new(now: clock::Timestamp, service: u64, waiting: &wait_line::WaitingAsk) -> Self {
        let ask = &waiting.ask;
        let due_in = ask.first_token_due.since(now).as_millis();
        let overdue = now.since(ask.first_token_due).as_millis();
        let whole = |millis| i32::try_from(millis).unwrap_or(i32::MAX);
        Self {
            service,
            resumes: ask.resumes,
            priority: ask.priority,
            load: ask.load(),
            due_in_millis: whole(due_in) - whole(overdue),
            timely_for: waiting.timely_until.since(now),
            selection_seed: waiting.selection_seed,
        }
    }

    /// Returns the waiting request as of `told_at`, for a service of that name.
    #[must_use]
    pub fn waiting(
        &self,
        told_at: clock::Timestamp,
        service: &ids::ServiceName,
    ) -> wait_line::WaitingAsk {
        let offset = time::Duration::from_millis(u64::from(self.due_in_millis.unsigned_abs()));
        let due = if self.due_in_millis < 0 {
            told_at.before(offset)
        } else {
            told_at + offset
        };
        let ask = stream_ask::StreamRequest::builder()
            .service(service.clone())
            .priority(self.priority)
            .prompt_tokens(self.load.held)
            .output_tokens(self.load.remaining)
            .guessed_tokens(self.load.remaining)
            .first_token_due(due)
            .wait_until(clock::Timestamp::MAX)
            .resumes(self.resumes)
            .build();
        wait_line::WaitingAsk {
            ticket: None,
            ask,
            timely_until: told_at + self.timely_for,
            selection_seed: self.selection_seed,
        }
    }
}
