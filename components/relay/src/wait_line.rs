//! Requests that wait for a place at a decode engine.

use std::sync;

use crate::stream_ask;

/// Names a waiting request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct QueueTicket(pub u64);

/// A waiting request, of this instance or of another one.
#[derive(Clone, Debug)]
pub struct WaitingAsk {
    /// Its name; `None` when it waits at another instance.
    pub ticket: Option<QueueTicket>,
    /// What it asks for.
    pub ask: stream_ask::StreamRequest,
    /// Latest moment at which a place still leads to a first token on time.
    pub timely_until: clock::Timestamp,
    /// Seed of the choice of its engines, alike on all instances.
    pub selection_seed: u32,
}

impl WaitingAsk {
    /// Returns whether a place found now still leads to a first token on time.
    #[must_use]
    pub fn is_timely(&self, now: clock::Timestamp) -> bool {
        self.ask.resumes || now <= self.timely_until
    }

    /// Returns the place of the request among all that wait.
    #[must_use]
    pub fn rank(&self, now: clock::Timestamp) -> WaitRank {
        WaitRank {
            starts: !self.ask.resumes,
            late: !self.is_timely(now),
            priority: self.ask.priority,
            due: self.ask.first_token_due,
            tie: self.selection_seed,
        }
    }
}

/// The order in which requests are served: broken streams that go on, then those that can be on
/// time, by priority and due time, then those that are late.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WaitRank {
    /// Whether no part of the answer was sent yet.
    starts: bool,
    /// Whether it can't be on time any more.
    late: bool,
    /// Rank of the route, 0 first.
    priority: u8,
    /// Moment at which the first token is due.
    due: clock::Timestamp,
    /// Tells apart what is due at the same time.
    tie: u32,
}

/// Requests that wait for a place.
///
/// It answers bursts: a request that can be on time goes before one that can't any more, which is
/// served from what is left rather than sent away.
#[derive(Debug, Default)]
pub struct WaitLine {
    waiting: Vec<sync::Arc<WaitingAsk>>,
    next_ticket: u64,
}

impl WaitLine {
    /// Adds a request and returns its name.
    pub fn push(
        &mut self,
        ask: stream_ask::StreamRequest,
        timely_until: clock::Timestamp,
        selection_seed: u32,
    ) -> QueueTicket {
        let ticket = QueueTicket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push(sync::Arc::new(WaitingAsk {
            ticket: Some(ticket),
            ask,
            timely_until,
            selection_seed,
        }));
        ticket
    }

    /// Returns the waiting requests.
    #[must_use]
    pub fn waiting(&self) -> &[sync::Arc<WaitingAsk>] {
        &self.waiting
    }

    /// Removes a request, when it still waits.
    pub fn remove(&mut self, ticket: QueueTicket) {
        self.waiting
            .retain(|waiting| waiting.ticket != Some(ticket));
    }

    /// Takes the requests out that have waited as long as they may.
    pub fn take_overdue(&mut self, now: clock::Timestamp) -> Vec<sync::Arc<WaitingAsk>> {
        self.waiting
            .extract_if(.., |waiting| waiting.ask.wait_until <= now)
            .collect()
    }

    /// Returns the earliest moment at which a request has waited as long as it may.
    #[must_use]
    pub fn next_queue_deadline(&self) -> Option<clock::Timestamp> {
        self.waiting
            .iter()
            .map(|waiting| waiting.ask.wait_until)
            .min()
    }
}
