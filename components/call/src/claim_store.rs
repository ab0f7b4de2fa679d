//! The claims that one witness holds.

use std::{collections, fmt, ops, time};

use crate::{claim_key, claim_state, held_claim};

/// Time for which expired claims may stay, so that each doesn't cost a wake.
const EXPIRY_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// A claim, but for its key, with the time until which it is kept.
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

/// The claims that one witness holds, bounded in number.
///
/// A full store refuses new keys; it never forgets one before its time.
#[derive(Clone)]
pub struct ClaimStore {
    records: collections::BTreeMap<claim_key::ClaimKey, ClaimRecord>,
    expiries: collections::BTreeSet<(clock::Timestamp, claim_key::ClaimKey)>,
    limit: usize,
    lifetime: time::Duration,
}

impl ClaimStore {
    /// Makes an empty store of at most `limit` claims, each kept for `lifetime` after its last change.
    pub const fn new(limit: usize, lifetime: time::Duration) -> Self {
        Self {
            records: collections::BTreeMap::new(),
            expiries: collections::BTreeSet::new(),
            limit,
            lifetime,
        }
    }

    /// Returns when expired claims are to be dropped, some together.
    pub fn next_expiry(&self) -> clock::Timestamp {
        self.expiries
            .first()
            .map_or(clock::Timestamp::MAX, |(expires, _)| {
                *expires + EXPIRY_INTERVAL
            })
    }

    /// Drops the claims whose time has passed.
    pub fn expire(&mut self, now: clock::Timestamp) {
        while let Some((expires, key)) = self.expiries.first().copied() {
            if expires > now {
                return;
            }
            self.expiries.pop_first();
            self.records.remove(&key);
        }
    }

    /// Claims a key and returns what the store holds of it.
    pub fn claim(
        &mut self,
        now: clock::Timestamp,
        claim: held_claim::HeldClaim,
    ) -> claim_state::ClaimState {
        let Some(held) = self.records.get(&claim.key) else {
            return self.claim_free(now, claim);
        };
        if held.fingerprint != claim.fingerprint {
            return claim_state::ClaimState::Mismatch;
        }
        if held.request == claim.request && held.state == claim_state::ClaimState::Running {
            return claim_state::ClaimState::Granted;
        }
        held.state
    }

    /// Takes in what became of a claim; a claim that didn't run frees its key.
    pub fn settle(
        &mut self,
        now: clock::Timestamp,
        key: claim_key::ClaimKey,
        request: ids::RequestId,
        state: claim_state::ClaimState,
    ) {
        let Some(held) = self.records.get(&key) else {
            return;
        };
        if held.request != request || held.state != claim_state::ClaimState::Running {
            return;
        }
        if state == claim_state::ClaimState::NotRun {
            self.remove(key);
        } else {
            let claim = held.claim(key);
            self.insert(now, held_claim::HeldClaim { state, ..claim });
        }
    }

    /// Takes in a claim that another witness holds.
    pub fn merge(&mut self, now: clock::Timestamp, claim: held_claim::HeldClaim) -> bool {
        match self.records.get(&claim.key) {
            Some(held) if held.state != claim_state::ClaimState::Running => true,
            Some(_) if claim.state == claim_state::ClaimState::Running => true,
            None if self.records.len() >= self.limit => false,
            _ => {
                self.insert(now, claim);
                true
            }
        }
    }

    /// Returns the claims after a key, in the order of their keys.
    pub fn after(
        &self,
        after: Option<claim_key::ClaimKey>,
    ) -> impl Iterator<Item = held_claim::HeldClaim> {
        let start = after.map_or(ops::Bound::Unbounded, ops::Bound::Excluded);
        self.records
            .range((start, ops::Bound::Unbounded))
            .map(|(key, record)| record.claim(*key))
    }

    fn claim_free(
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
    /// Shows the claims without the times at which they expire.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_list().entries(self.after(None)).finish()
    }
}
