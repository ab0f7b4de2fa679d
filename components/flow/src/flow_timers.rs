//! The wake-up times of the requests in flight.

use std::collections;

/// The wake-up times of the requests in flight, earliest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowTimers {
    due: collections::BTreeSet<(clock::Timestamp, ids::RequestId)>,
}

impl FlowTimers {
    /// Returns the earliest wake-up time.
    pub(crate) fn next(&self) -> clock::Timestamp {
        self.due
            .first()
            .map_or(clock::Timestamp::MAX, |(at, _)| *at)
    }

    /// Replaces the wake-up time of a request.
    pub(crate) fn replace(
        &mut self,
        request: ids::RequestId,
        before: clock::Timestamp,
        after: clock::Timestamp,
    ) {
        self.due.remove(&(before, request));
        if after < clock::Timestamp::MAX {
            self.due.insert((after, request));
        }
    }

    /// Removes and returns one request that is due.
    pub(crate) fn pop_due(&mut self, now: clock::Timestamp) -> Option<ids::RequestId> {
        let (at, request) = *self.due.first()?;
        if at > now {
            return None;
        }
        self.due.pop_first();
        Some(request)
    }
}
