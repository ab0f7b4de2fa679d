//! The asks that wait for a placement.

use std::{cmp, collections, time};

use crate::{pending_ask, work_key};

/// Asks that may wait in one cell.
const QUEUE_LIMIT: usize = 1_024;

/// Asks that go before or behind each other as a whole: priority, then share.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueBand {
    priority: cmp::Reverse<u8>,
    over_share: bool,
}

/// Place in the queue: band, then deadline, then arrival.
type QueuePlace = (QueueBand, clock::Timestamp, u64);

/// Work in the queue ahead of an ask.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueAhead {
    /// Asks ahead.
    pub asks: u32,
    /// Their prefill time on one engine.
    pub prefill: time::Duration,
}

/// The asks that wait for a placement: earliest deadline first, within priority and share.
#[derive(Clone, Debug, Default)]
pub struct AskQueue {
    asks: collections::BTreeMap<QueuePlace, pending_ask::PendingAsk>,
    places: collections::BTreeMap<work_key::WorkKey, QueuePlace>,
    bands: collections::BTreeMap<QueueBand, QueueAhead>,
    arrivals: u64,
}

impl AskQueue {
    /// Returns the number of asks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.asks.len()
    }

    /// Returns whether no ask waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.asks.is_empty()
    }

    /// Returns whether the queue takes no further ask.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.asks.len() >= QUEUE_LIMIT
    }

    /// Returns whether the work waits here.
    #[must_use]
    pub fn contains(&self, work: work_key::WorkKey) -> bool {
        self.places.contains_key(&work)
    }

    /// Adds an ask.
    pub fn push(&mut self, ask: pending_ask::PendingAsk) {
        self.arrivals += 1;
        let band = band_of(&ask);
        let place = (band, ask.deadline, self.arrivals);
        let sums = self.bands.entry(band).or_default();
        sums.asks += 1;
        sums.prefill += ask.prefill_span;
        self.places.insert(ask.work(), place);
        self.asks.insert(place, ask);
    }

    /// Returns the ask that goes first.
    #[must_use]
    pub fn first(&self) -> Option<&pending_ask::PendingAsk> {
        self.asks.values().next()
    }

    /// Returns the asks in their order.
    pub fn iter(&self) -> impl Iterator<Item = &pending_ask::PendingAsk> {
        self.asks.values()
    }

    /// Returns the ask with the earliest deadline of each priority and share.
    pub fn earliest(&self) -> impl Iterator<Item = &pending_ask::PendingAsk> {
        self.bands.iter().filter_map(|(band, sums)| {
            let begin = (*band, clock::Timestamp::default(), 0);
            let first = self.asks.range(begin..).next();
            first.filter(|_| sums.asks > 0).map(|(_, ask)| ask)
        })
    }

    /// Returns the last ask of a workspace that is over its share, if `than` isn't.
    #[must_use]
    pub fn last_over_share(&self, than: &pending_ask::PendingAsk) -> Option<work_key::WorkKey> {
        if than.over_share {
            return None;
        }
        let (_, ask) = self.asks.last_key_value()?;
        let replaceable = ask.over_share && ask.priority <= than.priority;
        replaceable.then(|| ask.work())
    }

    /// Returns the work of the ask that goes last.
    #[must_use]
    pub fn last_work(&self) -> Option<work_key::WorkKey> {
        self.asks
            .values()
            .next_back()
            .map(pending_ask::PendingAsk::work)
    }

    /// Returns the work ahead of `ask`.
    #[must_use]
    pub fn ahead_of(&self, ask: &pending_ask::PendingAsk) -> QueueAhead {
        self.bands
            .range(..=band_of(ask))
            .fold(QueueAhead::default(), |sum, (_, band)| QueueAhead {
                asks: sum.asks + band.asks,
                prefill: sum.prefill + band.prefill,
            })
    }

    /// Removes the ask for a work.
    pub fn remove(&mut self, work: work_key::WorkKey) -> Option<pending_ask::PendingAsk> {
        let place = self.places.remove(&work)?;
        let ask = self.asks.remove(&place)?;
        if let Some(sums) = self.bands.get_mut(&place.0) {
            sums.asks -= 1;
            sums.prefill = sums.prefill.saturating_sub(ask.prefill_span);
        }
        Some(ask)
    }
}

const fn band_of(ask: &pending_ask::PendingAsk) -> QueueBand {
    QueueBand {
        priority: cmp::Reverse(ask.priority),
        over_share: ask.over_share,
    }
}
