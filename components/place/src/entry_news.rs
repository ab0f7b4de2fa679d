//! What an owner hears of the entry instances.

use std::{collections, time};

/// Time for which an instance that dies is still trusted to report.
const SILENCE_LIMIT: time::Duration = time::Duration::from_millis(1_500);

/// Time for which work that an entry has named is protected.
const MENTION_SPAN: time::Duration = time::Duration::from_secs(5);

/// Time between two requests for the claims of one instance.
const CLAIM_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// What an owner hears of the entry instances.
#[derive(Clone, Debug, Default)]
pub struct EntryNews {
    /// Time of the last list of leases in a cell from each instance.
    lists: collections::BTreeMap<(ids::CellId, ids::InstanceId), clock::Timestamp>,
    /// Time at which an entry last named work that no lease covers.
    mentions: collections::BTreeMap<ids::RequestId, clock::Timestamp>,
    /// Time at which each instance was last asked for its claims in a cell.
    claims_asked: collections::BTreeMap<(ids::CellId, ids::InstanceId), clock::Timestamp>,
}

impl EntryNews {
    /// Notes that an instance has listed all its leases in a cell.
    pub fn note_list(&mut self, now: clock::Timestamp, cell: ids::CellId, entry: ids::InstanceId) {
        self.lists.insert((cell, entry), now);
    }

    /// Notes that an entry named work that no lease covers.
    pub fn note_mention(&mut self, now: clock::Timestamp, request: ids::RequestId) {
        self.mentions.retain(|_, at| *at + MENTION_SPAN > now);
        self.mentions.insert(request, now);
    }

    /// Returns whether an entry has named the request lately.
    #[must_use]
    pub fn is_mentioned(&self, now: clock::Timestamp, request: ids::RequestId) -> bool {
        self.mentions
            .get(&request)
            .is_some_and(|at| *at + MENTION_SPAN > now)
    }

    /// Returns whether the instance has listed its leases in a cell since `moment`.
    #[must_use]
    pub fn has_listed_since(
        &self,
        cell: ids::CellId,
        entry: ids::InstanceId,
        moment: clock::Timestamp,
    ) -> bool {
        self.lists
            .get(&(cell, entry))
            .is_some_and(|at| *at >= moment)
    }

    /// Returns whether the instance may be asked for its claims now, and notes that it is.
    pub fn ask_claims(
        &mut self,
        now: clock::Timestamp,
        cell: ids::CellId,
        entry: ids::InstanceId,
    ) -> bool {
        let due = self
            .claims_asked
            .get(&(cell, entry))
            .is_none_or(|at| *at + CLAIM_INTERVAL <= now);
        if due {
            self.claims_asked.insert((cell, entry), now);
        }
        due
    }
}

/// Returns whether an instance is gone, by the membership, and has been silent since `heard_at`.
#[must_use]
pub fn is_gone(
    now: clock::Timestamp,
    view: &member::MemberView,
    entry: ids::InstanceId,
    heard_at: clock::Timestamp,
) -> bool {
    let known = view.members.get(&entry);
    let dead = known.is_none_or(|member| member.state == member::MemberState::Dead);
    dead && heard_at + SILENCE_LIMIT <= now
}
