//! A new witness's recall of the claims that older witnesses hold.

use std::{collections, time};

use crate::{claim_key, held_claim, known_span, message};

/// Time after the start before the recall begins; a round of claims that was open at the start
/// is closed by then, so the older witnesses hold all of it.
const RECALL_DELAY: time::Duration = time::Duration::from_secs(3);

/// Time between two questions to a peer that doesn't answer.
const RECALL_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// A page of claims as it arrived.
#[derive(Clone, Copy, Debug)]
pub struct RecallPage<'page> {
    /// Process that asked for the page, if any did.
    pub process: Option<ids::Incarnation>,
    /// Last key of the page before, if any.
    pub after: Option<claim_key::ClaimKey>,
    /// The claims.
    pub claims: &'page [held_claim::HeldClaim],
    /// Time back for which the sender knows of every claim it was asked for.
    pub coverage_window: time::Duration,
    /// Whether claims beyond this page remain.
    pub more: bool,
}

/// How far the recall from one peer has come.
#[derive(Clone, Copy, Debug, Default)]
struct RecallCursor {
    after: Option<claim_key::ClaimKey>,
    /// How far back the peer's claims are known here, by the first of its pages.
    known: Option<known_span::KnownSpan>,
    done: bool,
}

/// A new witness's recall of the claims that older witnesses hold.
#[derive(Clone, Debug, Default)]
pub struct RecallTask {
    cursors: collections::BTreeMap<ids::InstanceId, RecallCursor>,
    /// When the questions go out next; unset before the start.
    next_ask: Option<clock::Timestamp>,
    begun: bool,
    /// Whether nothing remains to be recalled.
    finished: bool,
    /// This process, whose questions the pages must answer.
    process: ids::Incarnation,
}

impl RecallTask {
    /// Plans the first questions.
    pub fn start(&mut self, now: clock::Timestamp) {
        self.next_ask = Some(now + RECALL_DELAY);
    }

    /// Returns when the questions go out next.
    pub fn next_wake(&self) -> clock::Timestamp {
        let asked = self.begun && self.cursors.values().all(|cursor| cursor.done);
        if self.finished || asked {
            return clock::Timestamp::MAX;
        }
        self.next_ask.unwrap_or(clock::Timestamp::MAX)
    }

    /// Ends the recall, when this process has itself been up for long enough.
    pub const fn finish(&mut self) {
        self.finished = true;
    }

    /// Sets the peers to ask.
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

    /// Returns the questions that are due.
    pub fn due(&mut self, now: clock::Timestamp) -> Vec<(ids::InstanceId, message::Message)> {
        if self.next_wake() > now {
            return Vec::new();
        }
        self.begun = !self.cursors.is_empty();
        self.next_ask = Some(now + RECALL_INTERVAL);
        self.cursors
            .iter()
            .filter(|(_, cursor)| !cursor.done)
            .map(|(peer, cursor)| (*peer, self.question(cursor.after)))
            .collect()
    }

    /// Takes in a page; returns the next question, when more claims remain.
    pub fn take_page(
        &mut self,
        now: clock::Timestamp,
        peer: ids::InstanceId,
        page: &RecallPage<'_>,
    ) -> Option<message::Message> {
        let asked = self.begun && page.process == Some(self.process);
        let cursor = self.cursors.get_mut(&peer)?;
        if !asked || cursor.done || cursor.after != page.after {
            return None;
        }
        cursor
            .known
            .get_or_insert_with(|| known_span::KnownSpan::new(now, page.coverage_window));
        cursor.done = !page.more;
        cursor.after = page.claims.last().map(|claim| claim.key).or(cursor.after);
        let after = cursor.after;
        page.more.then(|| self.question(after))
    }

    /// Returns how far back the claims of all but `spare` of `peers` are known here.
    pub fn coverage_window(
        &self,
        now: clock::Timestamp,
        peers: impl Iterator<Item = ids::InstanceId>,
        spare: usize,
    ) -> time::Duration {
        let mut spans: Vec<_> = peers.map(|peer| self.known_of(now, peer)).collect();
        spans.sort_unstable();
        spans.get(spare).copied().unwrap_or_default()
    }

    fn known_of(&self, now: clock::Timestamp, peer: ids::InstanceId) -> time::Duration {
        self.cursors
            .get(&peer)
            .filter(|cursor| cursor.done)
            .and_then(|cursor| cursor.known)
            .map_or(time::Duration::ZERO, |known| known.length(now))
    }

    const fn question(&self, after: Option<claim_key::ClaimKey>) -> message::Message {
        message::Message::RequestClaims {
            process: self.process,
            after,
        }
    }
}
