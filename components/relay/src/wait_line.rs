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
    /// Latest moment at which a place still leads to a first token on time.
    pub timely_until: clock::Moment,
}

impl WaitingAsk {
    /// Returns whether a place found now still leads to a first token on time.
    #[must_use]
    pub fn is_timely(&self, now: clock::Moment) -> bool {
        self.ask.resumes || now <= self.timely_until
    }

    /// Returns the order in which requests are served: broken streams that go on, then those that
    /// can be on time, by priority and due time, then those that are late.
    fn rank(&self, now: clock::Moment) -> (bool, bool, u8, clock::Moment) {
        let ask = &self.ask;
        let late = !self.is_timely(now);
        (!ask.resumes, late, ask.priority, ask.first_token_due)
    }
}

/// Requests that wait for a place.
///
/// It answers bursts: a request that can be on time goes before one that can't any more, which is
/// served from what is left rather than sent away.
#[derive(Debug, Default)]
pub struct WaitLine {
    waiting: Vec<WaitingAsk>,
    next_ticket: u64,
}

impl WaitLine {
    /// Adds a request and returns its name.
    pub fn push(&mut self, ask: stream_ask::StreamAsk, timely_until: clock::Moment) -> WaitTicket {
        let ticket = WaitTicket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push(WaitingAsk {
            ticket,
            ask,
            timely_until,
        });
        ticket
    }

    /// Removes a request, when it still waits.
    pub fn remove(&mut self, ticket: WaitTicket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Returns the mean memory in tokens of a service's requests that go before one that can be on
    /// time, or before one that can't.
    #[must_use]
    pub fn tokens_ahead(
        &self,
        now: clock::Moment,
        service: &ids::ServiceName,
        timely: bool,
    ) -> u64 {
        self.waiting
            .iter()
            .filter(|waiting| waiting.ask.service == *service)
            .filter(|waiting| !timely || waiting.is_timely(now))
            .map(|waiting| u64::from(waiting.ask.mean_tokens()))
            .sum()
    }

    /// Takes the requests out that have waited as long as they may.
    pub fn take_overdue(&mut self, now: clock::Moment) -> Vec<WaitingAsk> {
        self.waiting
            .extract_if(.., |waiting| waiting.ask.wait_until <= now)
            .collect()
    }

    /// Returns the request that is served next.
    #[must_use]
    pub fn next(&self, now: clock::Moment) -> Option<&WaitingAsk> {
        self.waiting.iter().min_by_key(|waiting| waiting.rank(now))
    }

    /// Returns the earliest moment at which a request has waited as long as it may.
    #[must_use]
    pub fn next_overdue(&self) -> Option<clock::Moment> {
        self.waiting
            .iter()
            .map(|waiting| waiting.ask.wait_until)
            .min()
    }

    /// Returns whether no request of a service that can be on time waits.
    #[must_use]
    pub fn is_free_for(&self, now: clock::Moment, service: &ids::ServiceName) -> bool {
        !self
            .waiting
            .iter()
            .any(|waiting| waiting.ask.service == *service && waiting.is_timely(now))
    }
}
