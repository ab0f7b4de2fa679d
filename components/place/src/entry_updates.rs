//! Times of the last messages exchanged with the entry instances.

use std::{collections, time};

/// Time without an update after which work of a dead instance counts as abandoned.
const DEAD_ENTRY_GRACE: time::Duration = time::Duration::from_millis(1_500);

/// Time for which unleased work is protected from cancellation after an update from its entry.
const ACTIVE_RETENTION: time::Duration = time::Duration::from_secs(5);

/// Minimum interval between two requests for the claims of one instance.
const CLAIM_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Times of the last lease lists and updates received from the entry instances, and of the last
/// requests for claims sent to them.
#[derive(Clone, Debug, Default)]
pub struct EntryUpdates {
    /// Time of the last complete list of leases from each instance and cell.
    listed_at: collections::BTreeMap<(ids::CellId, ids::InstanceId), clock::Timestamp>,
    /// Time of the last update from an entry for each request that no lease covers.
    active_requests: collections::BTreeMap<ids::RequestId, clock::Timestamp>,
    /// Time at which claims were last requested from each instance and cell.
    claims_requested_at: collections::BTreeMap<(ids::CellId, ids::InstanceId), clock::Timestamp>,
}

impl EntryUpdates {
    /// Records that an instance has listed all its leases in a cell.
    pub fn record_list(
        &mut self,
        now: clock::Timestamp,
        cell: ids::CellId,
        entry: ids::InstanceId,
    ) {
        self.listed_at.insert((cell, entry), now);
    }

    /// Records an update from an entry for work that no lease covers.
    pub fn record_active_request(&mut self, now: clock::Timestamp, request: ids::RequestId) {
        self.active_requests
            .retain(|_, at| *at + ACTIVE_RETENTION > now);
        self.active_requests.insert(request, now);
    }

    /// Returns whether an entry sent an update for the request within `ACTIVE_RETENTION`.
    #[must_use]
    pub fn is_active_request(&self, now: clock::Timestamp, request: ids::RequestId) -> bool {
        self.active_requests
            .get(&request)
            .is_some_and(|at| *at + ACTIVE_RETENTION > now)
    }

    /// Returns whether the instance has listed its leases in a cell at or after `since`.
    #[must_use]
    pub fn has_listed_since(
        &self,
        cell: ids::CellId,
        entry: ids::InstanceId,
        since: clock::Timestamp,
    ) -> bool {
        self.listed_at
            .get(&(cell, entry))
            .is_some_and(|at| *at >= since)
    }

    /// Returns whether a request for claims is due and, if so, records that it was sent.
    pub fn start_claim_request(
        &mut self,
        now: clock::Timestamp,
        cell: ids::CellId,
        entry: ids::InstanceId,
    ) -> bool {
        let due = self
            .claims_requested_at
            .get(&(cell, entry))
            .is_none_or(|at| *at + CLAIM_INTERVAL <= now);
        if due {
            self.claims_requested_at.insert((cell, entry), now);
        }
        due
    }
}

/// Returns whether an instance is dead or missing in `view` and `confirmed_at` is at least
/// `DEAD_ENTRY_GRACE` ago.
///
/// For unleased work, `confirmed_at` is the time at which the work was first listed.
#[must_use]
pub fn is_gone(
    now: clock::Timestamp,
    view: &member::MemberView,
    entry: ids::InstanceId,
    confirmed_at: clock::Timestamp,
) -> bool {
    let member = view.members.get(&entry);
    let dead = member.is_none_or(|member| member.state == member::MemberState::Dead);
    dead && confirmed_at + DEAD_ENTRY_GRACE <= now
}
