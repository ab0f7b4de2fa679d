//! The queue of placement requests.

use std::{cmp, collections, time};

use crate::{pending_request, work_key};

/// Largest number of requests that wait in one cell.
const QUEUE_LIMIT: usize = 1_024;

/// Priority and share status; the requests of one band are ordered by deadline.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct PriorityBand {
    priority: cmp::Reverse<u8>,
    over_share: bool,
}

/// Position in the queue: band, then deadline, then arrival number.
type QueuePosition = (PriorityBand, clock::Timestamp, u64);

/// Number and prefill time of requests in the queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueBacklog {
    /// Number of requests.
    pub requests: u32,
    /// Sum of the requests' prefill times on one engine.
    pub prefill: time::Duration,
}

/// The queue of placement requests: ordered by priority, then by share, then earliest deadline.
#[derive(Clone, Debug, Default)]
pub struct RequestQueue {
    requests: collections::BTreeMap<QueuePosition, pending_request::PendingRequest>,
    positions: collections::BTreeMap<work_key::WorkKey, QueuePosition>,
    bands: collections::BTreeMap<PriorityBand, QueueBacklog>,
    arrivals: u64,
}

impl RequestQueue {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns whether the queue has reached its limit.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.requests.len() >= QUEUE_LIMIT
    }

    /// Returns whether a request for `work` waits.
    #[must_use]
    pub fn contains(&self, work: work_key::WorkKey) -> bool {
        self.positions.contains_key(&work)
    }

    /// Adds a request.
    pub fn push(&mut self, request: pending_request::PendingRequest) {
        self.arrivals += 1;
        let band = band_of(&request);
        let position = (band, request.deadline, self.arrivals);
        let backlog = self.bands.entry(band).or_default();
        backlog.requests += 1;
        backlog.prefill += request.prefill_duration;
        self.positions.insert(request.work(), position);
        self.requests.insert(position, request);
    }

    /// Returns the first request.
    #[must_use]
    pub fn first(&self) -> Option<&pending_request::PendingRequest> {
        self.requests.values().next()
    }

    /// Returns the requests in queue order.
    pub fn iter(&self) -> impl Iterator<Item = &pending_request::PendingRequest> {
        self.requests.values()
    }

    /// Returns the request with the earliest deadline of each priority and share status.
    pub fn first_of_bands(&self) -> impl Iterator<Item = &pending_request::PendingRequest> {
        self.bands.iter().filter_map(|(band, backlog)| {
            let begin = (*band, clock::Timestamp::default(), 0);
            let first = self.requests.range(begin..).next();
            first
                .filter(|_| backlog.requests > 0)
                .map(|(_, request)| request)
        })
    }

    /// Returns the work of the last request if `other` may replace it.
    ///
    /// A request may replace one of no higher priority whose workspace is over its share, unless
    /// its own workspace is over its share too.
    #[must_use]
    pub fn replaceable_by(
        &self,
        other: &pending_request::PendingRequest,
    ) -> Option<work_key::WorkKey> {
        if other.over_share {
            return None;
        }
        let (_, request) = self.requests.last_key_value()?;
        let replaceable = request.over_share && request.priority <= other.priority;
        replaceable.then(|| request.work())
    }

    /// Returns the work of the last request.
    #[must_use]
    pub fn last_work(&self) -> Option<work_key::WorkKey> {
        self.requests
            .values()
            .next_back()
            .map(pending_request::PendingRequest::work)
    }

    /// Returns the backlog of all bands up to and including that of `request`.
    #[must_use]
    pub fn backlog_ahead(&self, request: &pending_request::PendingRequest) -> QueueBacklog {
        self.bands
            .range(..=band_of(request))
            .fold(QueueBacklog::default(), |sum, (_, band)| QueueBacklog {
                requests: sum.requests + band.requests,
                prefill: sum.prefill + band.prefill,
            })
    }

    /// Removes the request for `work`.
    pub fn remove(&mut self, work: work_key::WorkKey) -> Option<pending_request::PendingRequest> {
        let position = self.positions.remove(&work)?;
        let request = self.requests.remove(&position)?;
        if let Some(backlog) = self.bands.get_mut(&position.0) {
            backlog.requests -= 1;
            backlog.prefill = backlog.prefill.saturating_sub(request.prefill_duration);
        }
        Some(request)
    }
}

const fn band_of(request: &pending_request::PendingRequest) -> PriorityBand {
    PriorityBand {
        priority: cmp::Reverse(request.priority),
        over_share: request.over_share,
    }
}
