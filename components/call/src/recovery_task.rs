//! Recovery of claims from older witnesses.

use std::{collections, time};

use crate::{claim_key, coverage_window, held_claim, message};

/// Time between the start of the process and the first recovery request.
///
/// A claim round that was open at the start is closed by then, so the older witnesses hold all of
/// its claims.
const RECOVERY_DELAY: time::Duration = time::Duration::from_secs(3);

/// Time between two recovery requests to a peer that does not answer.
const RECOVERY_RETRY_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Received page of claims.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryPage<'page> {
    /// Process that requested the page; unset when the page was sent without a request.
    pub process: Option<ids::Incarnation>,
    /// Last key of the previous page, if any.
    pub after: Option<claim_key::ClaimKey>,
    /// Claims of the page.
    pub claims: &'page [held_claim::HeldClaim],
    /// Time before now for which the sender has a record of every claim that was sent to it.
    pub coverage_window: time::Duration,
    /// Whether more pages follow.
    pub more: bool,
}

/// Progress of the recovery from one peer.
#[derive(Clone, Copy, Debug, Default)]
struct RecoveryCursor {
    after: Option<claim_key::ClaimKey>,
    /// Coverage of the peer's claims, according to its first page.
    coverage: Option<coverage_window::CoverageWindow>,
    done: bool,
}

/// Recovery of the claims of a new witness from older witnesses.
#[derive(Clone, Debug, Default)]
pub struct RecoveryTask {
    cursors: collections::BTreeMap<ids::InstanceId, RecoveryCursor>,
    /// Time of the next recovery requests; unset before the start.
    next_request: Option<clock::Timestamp>,
    /// Whether recovery requests have been issued.
    requested: bool,
    /// Whether the recovery is complete.
    finished: bool,
    /// Incarnation of this process; pages requested by another process are ignored.
    process: ids::Incarnation,
}

impl RecoveryTask {
    /// Schedules the first recovery requests.
    pub fn start(&mut self, now: clock::Timestamp) {
        self.next_request = Some(now + RECOVERY_DELAY);
    }

    /// Returns the time of the next recovery requests.
    pub fn next_wake(&self) -> clock::Timestamp {
        let is_done = self.requested && self.cursors.values().all(|cursor| cursor.done);
        if self.finished || is_done {
            return clock::Timestamp::MAX;
        }
        self.next_request.unwrap_or(clock::Timestamp::MAX)
    }

    /// Ends the recovery; called once the recorded claims cover the whole retention.
    pub const fn finish(&mut self) {
        self.finished = true;
    }

    /// Sets the peers from which claims are recovered.
    pub fn set_peers(
        &mut self,
        roster: &[ids::InstanceId],
        own: ids::InstanceId,
        process: ids::Incarnation,
    ) {
        self.process = process;
        self.cursors.retain(|peer, _| roster.contains(peer));
        if self.finished {
            return;
        }
        for peer in roster.iter().filter(|peer| **peer != own) {
            self.cursors.entry(*peer).or_default();
        }
    }

    /// Returns the recovery requests that are due.
    pub fn due_requests(
        &mut self,
        now: clock::Timestamp,
    ) -> Vec<(ids::InstanceId, message::Message)> {
        if self.next_wake() > now {
            return Vec::new();
        }
        self.requested = !self.cursors.is_empty();
        self.next_request = Some(now + RECOVERY_RETRY_INTERVAL);
        self.cursors
            .iter()
            .filter(|(_, cursor)| !cursor.done)
            .map(|(peer, cursor)| (*peer, self.recovery_request(cursor.after)))
            .collect()
    }

    /// Handles a received page; returns the request for the next page, if any.
    pub fn handle_page(
        &mut self,
        now: clock::Timestamp,
        peer: ids::InstanceId,
        page: &RecoveryPage<'_>,
    ) -> Option<message::Message> {
        let is_expected = self.requested && page.process == Some(self.process);
        let cursor = self.cursors.get_mut(&peer)?;
        if !is_expected || cursor.done || cursor.after != page.after {
            return None;
        }
        cursor
            .coverage
            .get_or_insert_with(|| coverage_window::CoverageWindow::new(now, page.coverage_window));
        cursor.done = !page.more;
        cursor.after = page.claims.last().map(|claim| claim.key).or(cursor.after);
        let after = cursor.after;
        page.more.then(|| self.recovery_request(after))
    }

    /// Returns the time before `now` that the claims recovered from `peers` cover, ignoring the
    /// `omitted` peers with the shortest coverage.
    pub fn recovered_coverage(
        &self,
        now: clock::Timestamp,
        peers: impl Iterator<Item = ids::InstanceId>,
        omitted: usize,
    ) -> time::Duration {
        let mut windows: Vec<_> = peers.map(|peer| self.peer_coverage(now, peer)).collect();
        windows.sort_unstable();
        windows.get(omitted).copied().unwrap_or_default()
    }

    fn peer_coverage(&self, now: clock::Timestamp, peer: ids::InstanceId) -> time::Duration {
        self.cursors
            .get(&peer)
            .filter(|cursor| cursor.done)
            .and_then(|cursor| cursor.coverage)
            .map_or(time::Duration::ZERO, |window| window.length(now))
    }

    const fn recovery_request(&self, after: Option<claim_key::ClaimKey>) -> message::Message {
        message::Message::RequestClaims {
            process: self.process,
            after,
        }
    }
}
