//! The wake-up times of many requests.

use std::collections;

/// The wake-up times of many requests, earliest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowTimers {
    due: collections::BTreeSet<(clock::Moment, ids::RequestId)>,
}

impl FlowTimers {
    /// Returns the earliest wake-up time.
    pub(crate) fn next(&self) -> clock::Moment {
        self.due.first().map_or(clock::Moment::MAX, |(at, _)| *at)
    }

    /// Replaces the wake-up time of a request.
    pub(crate) fn replace(
        &mut self,
        request: ids::RequestId,
        before: clock::Moment,
        after: clock::Moment,
    ) {
        self.due.remove(&(before, request));
        if after < clock::Moment::MAX {
            self.due.insert((after, request));
        }
    }

    /// Removes and returns one request that is due.
    pub(crate) fn pop_due(&mut self, now: clock::Moment) -> Option<ids::RequestId> {
        let (at, request) = *self.due.first()?;
        if at > now {
            return None;
        }
        self.due.pop_first();
        Some(request)
    }
}
