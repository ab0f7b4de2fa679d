//! Requests that wait for a place at a decode engine.

use crate::stream_ask;

/// Names a waiting request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WaitTicket(pub u64);

/// A waiting request.
#[derive(Clone, Debug)]
pub struct WaitingAsk {
    /// Its name.
    pub ticket: WaitTicket,
    /// What it asks for.
    pub ask: stream_ask::StreamAsk,
    /// Latest moment at which it may still be placed.
    pub start_by: clock::Moment,
}

/// Requests that wait for a place: those that resume first, then by priority and due time.
#[derive(Debug, Default)]
pub struct WaitLine {
    waiting: Vec<WaitingAsk>,
    next_ticket: u64,
}

impl WaitLine {
    /// Adds a request and returns its name.
    pub fn push(&mut self, ask: stream_ask::StreamAsk, start_by: clock::Moment) -> WaitTicket {
        let ticket = WaitTicket(self.next_ticket);
        self.next_ticket += 1;
        let entry = WaitingAsk {
            ticket,
            ask,
            start_by,
        };
        let place = self
            .waiting
            .partition_point(|other| rank(&other.ask) <= rank(&entry.ask));
        self.waiting.insert(place, entry);
        ticket
    }

    /// Removes a request, when it still waits.
    pub fn remove(&mut self, ticket: WaitTicket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Returns the tokens of memory for which a service's requests wait.
    #[must_use]
    pub fn tokens(&self, service: &ids::ServiceName) -> u64 {
        self.waiting
            .iter()
            .filter(|waiting| waiting.ask.service == *service)
            .map(|waiting| u64::from(waiting.ask.kv_tokens()))
            .sum()
    }

    /// Takes the requests out that can't be placed any more.
    pub fn take_overdue(&mut self, now: clock::Moment) -> Vec<WaitingAsk> {
        self.waiting
            .extract_if(.., |waiting| waiting.start_by <= now)
            .collect()
    }

    /// Returns the waiting requests, the next one first.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingAsk> {
        self.waiting.iter()
    }

    /// Returns the earliest moment at which a request can't be placed any more.
    #[must_use]
    pub fn next_overdue(&self) -> Option<clock::Moment> {
        self.waiting.iter().map(|waiting| waiting.start_by).min()
    }

    /// Returns whether nothing waits for a service.
    #[must_use]
    pub fn is_empty_for(&self, service: &ids::ServiceName) -> bool {
        !self
            .waiting
            .iter()
            .any(|waiting| waiting.ask.service == *service)
    }
}

fn rank(ask: &stream_ask::StreamAsk) -> (bool, u8, clock::Moment) {
    (!ask.resumes, ask.priority, ask.first_token_due)
}
