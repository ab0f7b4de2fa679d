//! Queue of the requests that wait for capacity of a decode engine.

use std::sync;

use crate::stream_request;

/// Identifies a waiting request of this instance.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct QueueTicket(pub u64);

/// Waiting request of this instance or of another one.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// Ticket in the queue of this instance; `None` for a request of another instance.
    pub ticket: Option<QueueTicket>,
    /// Placement request.
    pub request: stream_request::StreamRequest,
    /// Latest time of a placement that leads to a first token on time.
    pub timely_until: clock::Timestamp,
    /// Seed of the engine selection, the same on all instances.
    pub selection_seed: u32,
}

impl WaitingRequest {
    /// Returns whether a placement at `now` leads to a first token on time. A resumed stream always
    /// counts as timely.
    #[must_use]
    pub fn is_timely(&self, now: clock::Timestamp) -> bool {
        self.request.resumes || now <= self.timely_until
    }

    /// Returns the position of the request in the queue order of all instances.
    #[must_use]
    pub fn rank(&self, now: clock::Timestamp) -> QueueRank {
        QueueRank {
            is_new: !self.request.resumes,
            late: !self.is_timely(now),
            priority: self.request.priority,
            due: self.request.first_token_due,
            tie_breaker: self.selection_seed,
        }
    }
}

/// Queue order of waiting requests: resumed streams first, then requests that can be on time, then
/// late ones, each by priority and due time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueRank {
    /// Whether the caller hasn't received any part of the answer yet.
    is_new: bool,
    /// Whether the first token can no longer be on time.
    late: bool,
    /// Priority of the route; 0 is the highest.
    priority: u8,
    /// Time at which the first token is due.
    due: clock::Timestamp,
    /// Tie-breaker between requests that are due at the same time.
    tie_breaker: u32,
}

/// Queue of the requests of this instance that wait for capacity.
///
/// During a burst, a request that can be on time is placed before a late one. The late one stays
/// in the queue and is placed on the remaining capacity instead of being refused.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: Vec<sync::Arc<WaitingRequest>>,
    next_ticket: u64,
}

impl WaitQueue {
    /// Adds a request and returns its ticket.
    pub fn push(
        &mut self,
        request: stream_request::StreamRequest,
        timely_until: clock::Timestamp,
        selection_seed: u32,
    ) -> QueueTicket {
        let ticket = QueueTicket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push(sync::Arc::new(WaitingRequest {
            ticket: Some(ticket),
            request,
            timely_until,
            selection_seed,
        }));
        ticket
    }

    /// Returns the waiting requests.
    #[must_use]
    pub fn waiting(&self) -> &[sync::Arc<WaitingRequest>] {
        &self.waiting
    }

    /// Removes a request if it is still in the queue.
    pub fn remove(&mut self, ticket: QueueTicket) {
        self.waiting
            .retain(|waiting| waiting.ticket != Some(ticket));
    }

    /// Removes and returns the requests whose `wait_until` has passed.
    pub fn remove_expired(&mut self, now: clock::Timestamp) -> Vec<sync::Arc<WaitingRequest>> {
        self.waiting
            .extract_if(.., |waiting| waiting.request.wait_until <= now)
            .collect()
    }

    /// Returns the earliest `wait_until` of the waiting requests.
    #[must_use]
    pub fn next_queue_deadline(&self) -> Option<clock::Timestamp> {
        self.waiting
            .iter()
            .map(|waiting| waiting.request.wait_until)
            .min()
    }
}
