//! Store of the claims of one witness.

use std::{collections, fmt, ops, time};

use crate::{claim_key, claim_state, held_claim};

/// Delay before the removal of an expired claim, so that one wake-up removes several claims.
const EXPIRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Claim without its key, with its expiry time.
#[derive(Clone, Copy, Debug)]
struct ClaimRecord {
    request: ids::RequestId,
    fingerprint: u128,
    expires: clock::Timestamp,
    state: claim_state::ClaimState,
}

impl ClaimRecord {
    const fn claim(&self, key: claim_key::ClaimKey) -> held_claim::HeldClaim {
        held_claim::HeldClaim {
            key,
            request: self.request,
            fingerprint: self.fingerprint,
            state: self.state,
        }
    }
}

/// Store of the claims of one witness, with a limit on their number.
///
/// A full store refuses new keys and never evicts a claim before its expiry.
#[derive(Clone)]
pub struct ClaimStore {
    records: collections::BTreeMap<claim_key::ClaimKey, ClaimRecord>,
    expiries: collections::BTreeSet<(clock::Timestamp, claim_key::ClaimKey)>,
    limit: usize,
    lifetime: time::Duration,
}

impl ClaimStore {
    /// Creates an empty store of at most `limit` claims.
    ///
    /// Each claim is kept for `lifetime` after its last change.
    pub const fn new(limit: usize, lifetime: time::Duration) -> Self {
        Self {
            records: collections::BTreeMap::new(),
            expiries: collections::BTreeSet::new(),
            limit,
            lifetime,
        }
    }

    /// Returns the time of the next removal of expired claims.
    pub fn next_expiry(&self) -> clock::Timestamp {
        self.expiries
            .first()
            .map_or(clock::Timestamp::MAX, |(expires, _)| {
                *expires + EXPIRY_DELAY
            })
    }

    /// Removes the expired claims.
    pub fn expire(&mut self, now: clock::Timestamp) {
        while let Some((expires, key)) = self.expiries.first().copied() {
            if expires > now {
                return;
            }
            self.expiries.pop_first();
            self.records.remove(&key);
        }
    }

    /// Claims a key for a request and returns the state of the key.
    pub fn claim(
        &mut self,
        now: clock::Timestamp,
        claim: held_claim::HeldClaim,
    ) -> claim_state::ClaimState {
        let Some(record) = self.records.get(&claim.key) else {
            return self.claim_new_key(now, claim);
        };
        if record.fingerprint != claim.fingerprint {
            return claim_state::ClaimState::Mismatch;
        }
        if record.request == claim.request && record.state == claim_state::ClaimState::Running {
            return claim_state::ClaimState::Granted;
        }
        record.state
    }

    /// Records the final state of a claim; the claim of a call that did not run releases its key.
    pub fn settle(
        &mut self,
        now: clock::Timestamp,
        key: claim_key::ClaimKey,
        request: ids::RequestId,
        state: claim_state::ClaimState,
    ) {
        let Some(record) = self.records.get(&key) else {
            return;
        };
        if record.request != request || record.state != claim_state::ClaimState::Running {
            return;
        }
        if state == claim_state::ClaimState::NotRun {
            self.remove(key);
        } else {
            let claim = record.claim(key);
            self.insert(now, held_claim::HeldClaim { state, ..claim });
        }
    }

    /// Adds a claim received from another witness; returns false when the store is full.
    ///
    /// A recorded final state is kept, and a running claim does not replace a recorded claim.
    pub fn merge(&mut self, now: clock::Timestamp, claim: held_claim::HeldClaim) -> bool {
        match self.records.get(&claim.key) {
            Some(record) if record.state != claim_state::ClaimState::Running => true,
            Some(_) if claim.state == claim_state::ClaimState::Running => true,
            None if self.records.len() >= self.limit => false,
            _ => {
                self.insert(now, claim);
                true
            }
        }
    }

    /// Returns the claims with keys greater than `after`, in key order.
    pub fn claims_after(
        &self,
        after: Option<claim_key::ClaimKey>,
    ) -> impl Iterator<Item = held_claim::HeldClaim> {
        let start = after.map_or(ops::Bound::Unbounded, ops::Bound::Excluded);
        self.records
            .range((start, ops::Bound::Unbounded))
            .map(|(key, record)| record.claim(*key))
    }

    fn claim_new_key(
        &mut self,
        now: clock::Timestamp,
        claim: held_claim::HeldClaim,
    ) -> claim_state::ClaimState {
        if self.records.len() >= self.limit {
            return claim_state::ClaimState::Unknown;
        }
        self.insert(now, claim);
        claim_state::ClaimState::Granted
    }

    fn insert(&mut self, now: clock::Timestamp, claim: held_claim::HeldClaim) {
        self.remove(claim.key);
        let expires = now + self.lifetime;
        self.expiries.insert((expires, claim.key));
        let record = ClaimRecord {
            request: claim.request,
            fingerprint: claim.fingerprint,
            expires,
            state: claim.state,
        };
        self.records.insert(claim.key, record);
    }

    fn remove(&mut self, key: claim_key::ClaimKey) {
        if let Some(record) = self.records.remove(&key) {
            self.expiries.remove(&(record.expires, key));
        }
    }
}

impl fmt::Debug for ClaimStore {
    /// Formats the claims without their expiry times.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_list()
            .entries(self.claims_after(None))
            .finish()
    }
}
