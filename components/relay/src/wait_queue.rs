//! Requests that wait for a place at a decode engine.

use std::sync;

use crate::stream_request;

/// Names a waiting request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WaitTicket(pub u64);

/// A waiting request, of this instance or of another one.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// Its name; `None` when it waits at another instance.
    pub ticket: Option<WaitTicket>,
    /// What it asks for.
    pub request: stream_request::StreamAsk,
    /// Latest moment at which a place still leads to a first token on time.
    pub timely_until: clock::Moment,
    /// Seed of the choice of its engines, alike on all instances.
    pub choice_seed: u32,
}

impl WaitingRequest {
    /// Returns whether a place found now still leads to a first token on time.
    #[must_use]
    pub fn is_timely(&self, now: clock::Moment) -> bool {
        self.request.resumes || now <= self.timely_until
    }

    /// Returns the place of the request among all that wait.
    #[must_use]
    pub fn rank(&self, now: clock::Moment) -> QueueRank {
        QueueRank {
            starts: !self.request.resumes,
            late: !self.is_timely(now),
            priority: self.request.priority,
            due: self.request.first_token_due,
            tie: self.choice_seed,
        }
    }
}

/// The order in which requests are served: broken streams that go on, then those that can be on
/// time, by priority and due time, then those that are late.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueRank {
    /// Whether no part of the answer was sent yet.
    starts: bool,
    /// Whether it can't be on time any more.
    late: bool,
    /// Rank of the route, 0 first.
    priority: u8,
    /// Moment at which the first token is due.
    due: clock::Moment,
    /// Tells apart what is due at the same time.
    tie: u32,
}

/// Requests that wait for a place.
///
/// It answers bursts: a request that can be on time goes before one that can't any more, which is
/// served from what is left rather than sent away.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: Vec<sync::Arc<WaitingRequest>>,
    next_ticket: u64,
}

impl WaitQueue {
    /// Adds a request and returns its name.
    pub fn push(
        &mut self,
        request: stream_request::StreamAsk,
        timely_until: clock::Moment,
        choice_seed: u32,
    ) -> WaitTicket {
        let ticket = WaitTicket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push(sync::Arc::new(WaitingRequest {
            ticket: Some(ticket),
            request,
            timely_until,
            choice_seed,
        }));
        ticket
    }

    /// Returns the waiting requests.
    #[must_use]
    pub fn waiting(&self) -> &[sync::Arc<WaitingRequest>] {
        &self.waiting
    }

    /// Removes a request, when it still waits.
    pub fn remove(&mut self, ticket: WaitTicket) {
        self.waiting
            .retain(|waiting| waiting.ticket != Some(ticket));
    }

    /// Takes the requests out that have waited as long as they may.
    pub fn remove_expired(&mut self, now: clock::Moment) -> Vec<sync::Arc<WaitingRequest>> {
        self.waiting
            .extract_if(.., |waiting| waiting.request.wait_until <= now)
            .collect()
    }

    /// Returns the earliest moment at which a request has waited as long as it may.
    #[must_use]
    pub fn next_overdue(&self) -> Option<clock::Moment> {
        self.waiting
            .iter()
            .map(|waiting| waiting.request.wait_until)
            .min()
    }
}
