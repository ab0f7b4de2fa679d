//! Queue of the requests that wait for capacity of a decode engine.

use std::sync;

use crate::{service_shares, share_step, stream_request};

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
        QueueRank::new(&self.request, !self.is_timely(now), self.selection_seed)
    }
}

/// Queue order of waiting requests: resumed streams first, then requests that can be on time, then
/// late ones, each by priority, share of the workspace and due time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueRank {
    /// Whether the caller hasn't received any part of the answer yet.
    is_new: bool,
    /// Whether the first token can no longer be on time.
    late: bool,
    /// Priority of the workspace or route; 0 is the highest.
    priority: u8,
    /// Position of the workspace relative to its share.
    step: share_step::ShareStep,
    /// Time at which the first token is due.
    due: clock::Timestamp,
    /// Tie-breaker between requests that are due at the same time.
    tie_breaker: u32,
}

impl QueueRank {
    /// Returns the rank of a request of a workspace within its share.
    #[must_use]
    pub(crate) const fn new(
        request: &stream_request::StreamRequest,
        late: bool,
        tie_breaker: u32,
    ) -> Self {
        Self {
            is_new: !request.resumes,
            late,
            priority: request.priority,
            step: share_step::ShareStep::WITHIN,
            due: request.first_token_due,
            tie_breaker,
        }
    }

    /// Returns the rank with a position in the order of shares, which doesn't concern resumed streams.
    #[must_use]
    pub(crate) const fn with_share(self, position: service_shares::SharePosition) -> Self {
        if !self.is_new {
            return self;
        }
        Self {
            priority: if position.below_floor {
                0
            } else {
                self.priority
            },
            step: position.step,
            ..self
        }
    }

    /// Returns whether a request of this rank keeps one of rank `other` waiting: it stands before it, or only
    /// due time decides between them.
    #[must_use]
    pub(crate) fn blocks(&self, other: &Self) -> bool {
        let group = |rank: &Self| (rank.is_new, rank.late, rank.priority, rank.step);
        group(self) <= group(other)
    }
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
