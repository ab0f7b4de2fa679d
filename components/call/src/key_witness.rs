//! The witness's side of claims: what this instance remembers of keys, and how far back.

use std::{collections, fmt, sync, time};

use crate::{
    call_config, claim_key, claim_policy, claim_state::ClaimState, claim_store, held_claim,
    known_span, message, output, recall_task, witness_rank,
};

mod handing;

/// Time for which claims outlive the retention, so that a call may end late.
const RETENTION_GRACE: time::Duration = time::Duration::from_secs(60);

/// The instances of the region from some time on.
#[derive(Clone, Debug)]
struct RosterSpan {
    since: clock::Timestamp,
    roster: Vec<ids::InstanceId>,
}

/// Remembers the claims of keys that this instance is a witness of.
///
/// The witness answers only under a view that may be acted on, and vouches for a key only when it
/// has been among the key's witnesses for the whole window that the claim names, as one process
/// or with what it recalled from enough older witnesses.
#[derive(Clone)]
pub struct KeyWitness {
    own: ids::InstanceId,
    retention: time::Duration,
    policy: sync::Arc<dyn claim_policy::ClaimPolicy>,
    store: claim_store::ClaimStore,
    rosters: collections::VecDeque<RosterSpan>,
    /// How far back every claim that this instance should know of is known; unset before the start.
    known: Option<known_span::KnownSpan>,
    /// When an instance last left the roster, by which this one may have moved up in rank.
    moved_up: Option<clock::Timestamp>,
    usable: bool,
    recall: recall_task::RecallTask,
}

impl KeyWitness {
    /// Makes a witness that remembers nothing.
    pub fn new(config: &call_config::CallConfig) -> Self {
        Self {
            own: config.own,
            retention: config.key_retention,
            policy: sync::Arc::clone(&config.claim_policy),
            store: claim_store::ClaimStore::new(
                config.claim_limit,
                config.key_retention + RETENTION_GRACE,
            ),
            rosters: collections::VecDeque::new(),
            known: None,
            moved_up: None,
            usable: false,
            recall: recall_task::RecallTask::default(),
        }
    }

    /// Returns when the witness wants to be woken.
    pub fn next_wake(&self) -> clock::Timestamp {
        self.store.next_expiry().min(self.recall.next_wake())
    }

    /// Notes the time of the first input, from which this process remembers.
    pub fn start(&mut self, now: clock::Timestamp) {
        if self.known.is_none() {
            self.known = Some(known_span::KnownSpan::new(now, time::Duration::ZERO));
            self.recall.start(now);
        }
    }

    /// Drops expired claims and asks again for what is to be recalled.
    pub fn wake(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        self.store.expire(now);
        if self.remembered(now) >= self.retention {
            self.recall.finish();
        }
        for (peer, question) in self.recall.due(now) {
            outputs.push(output::Output::Send(peer, question));
        }
    }

    /// Takes a changed membership.
    pub fn take_view(
        &mut self,
        now: clock::Timestamp,
        view: &member::MemberView,
        rosters: &collections::BTreeMap<ids::RegionName, Vec<ids::InstanceId>>,
    ) {
        self.usable = view.fresh && !view.partitioned;
        let Some(own) = view.members.get(&self.own) else {
            self.usable = false;
            return;
        };
        let Some(roster) = rosters.get(&own.instance.region) else {
            return;
        };
        let held = self.rosters.back().map(|span| &span.roster);
        if held == Some(roster) {
            return;
        }
        let moves_up = held.is_some_and(|held| {
            held.len() > witness_rank::WITNESS_COUNT && held.iter().any(|old| !roster.contains(old))
        });
        if moves_up {
            self.moved_up = Some(now);
        }
        self.recall.set_peers(roster, self.own, own.incarnation);
        self.rosters.push_back(RosterSpan {
            since: now,
            roster: roster.clone(),
        });
        self.forget_rosters(now);
    }

    /// Takes a message for the witness's side.
    pub fn take_message(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        message: message::Message,
        outputs: &mut Vec<output::Output>,
    ) {
        match message {
            message::Message::Claim {
                key,
                request,
                fingerprint,
                window,
            } => {
                let claim = held_claim::HeldClaim {
                    key,
                    request,
                    fingerprint,
                    state: ClaimState::Running,
                };
                let answer = self.claim(now, claim, window);
                outputs.push(output::Output::Send(from, answer));
            }
            message::Message::Settle {
                key,
                request,
                state,
            } => self.store.settle(now, key, request, state),
            message::Message::RequestClaims { process, after } => {
                let page = self.recalled(now, from, process, after);
                outputs.push(output::Output::Send(from, page));
            }
            message::Message::HandOver {
                process,
                after,
                claims,
                coverage_window,
                more,
            } => {
                let page = recall_task::RecallPage {
                    process,
                    after,
                    claims: &claims,
                    coverage_window,
                    more,
                };
                self.take_page(now, from, page, outputs);
            }
            message::Message::Claimed { .. } => {}
        }
    }

    fn claim(
        &mut self,
        now: clock::Timestamp,
        claim: held_claim::HeldClaim,
        window: time::Duration,
    ) -> message::Message {
        let speaks = self.speaks_for(claim.key);
        let state = if speaks {
            self.store.expire(now);
            self.store.claim(now, claim)
        } else {
            ClaimState::Unknown
        };
        message::Message::Claimed {
            key: claim.key,
            request: claim.request,
            state,
            confirmed: speaks && self.vouches_for(now, claim.key, window),
        }
    }

    fn take_page(
        &mut self,
        now: clock::Timestamp,
        peer: ids::InstanceId,
        page: recall_task::RecallPage<'_>,
        outputs: &mut Vec<output::Output>,
    ) {
        let mut whole = true;
        for claim in page.claims {
            whole &= self.store.merge(now, *claim);
        }
        if !whole {
            return;
        }
        if let Some(question) = self.recall.take_page(now, peer, &page) {
            outputs.push(output::Output::Send(peer, question));
        }
        self.extend_memory(now);
    }

    fn roster(&self) -> &[ids::InstanceId] {
        self.rosters.back().map_or(&[], |span| &span.roster)
    }

    /// Returns whether this instance may answer claims of `key`.
    fn speaks_for(&self, key: claim_key::ClaimKey) -> bool {
        let ranked = self
            .rosters
            .back()
            .is_some_and(|span| witness_rank::is_witness(key, &span.roster, self.own));
        self.usable && ranked
    }

    /// Returns whether every claim of `key` within the window that came here is known.
    fn vouches_for(
        &self,
        now: clock::Timestamp,
        key: claim_key::ClaimKey,
        window: time::Duration,
    ) -> bool {
        let window = window.min(self.retention);
        self.remembered(now) >= window && self.was_witness_since(key, now.before(window))
    }

    /// Returns how far back this instance's memory is complete, whatever its rank was.
    fn remembered(&self, now: clock::Timestamp) -> time::Duration {
        self.known
            .map_or(time::Duration::ZERO, |known| known.length(now))
    }

    fn was_witness_since(&self, key: claim_key::ClaimKey, from: clock::Timestamp) -> bool {
        self.rosters
            .iter()
            .rev()
            .scan(clock::Timestamp::MAX, |until, span| {
                let overlaps = *until > from;
                *until = span.since;
                overlaps.then_some(span)
            })
            .all(|span| witness_rank::is_witness(key, &span.roster, self.own))
    }

    /// Returns how far back this instance knows of every claim it was a witness of.
    fn coverage_window(&self, now: clock::Timestamp) -> time::Duration {
        let remembered = self.remembered(now);
        self.moved_up
            .map_or(remembered, |moved_up| remembered.min(now.since(moved_up)))
    }

    /// Counts this instance's memory as reaching back as far as that of enough older witnesses.
    fn extend_memory(&mut self, now: clock::Timestamp) {
        let roster = self.roster();
        let witnesses = roster.len().min(witness_rank::WITNESS_COUNT);
        let vouchers = self.policy.quorum(witnesses).vouchers;
        let Some(spare) = witnesses.checked_sub(1 + vouchers) else {
            return;
        };
        let peers = roster.iter().copied().filter(|peer| *peer != self.own);
        let recalled = self.recall.coverage_window(now, peers, spare);
        if recalled > self.remembered(now) {
            self.known = Some(known_span::KnownSpan::new(now, recalled));
        }
    }

    fn forget_rosters(&mut self, now: clock::Timestamp) {
        let oldest = now.before(self.retention);
        while self.rosters.len() > 1 && self.rosters[1].since <= oldest {
            self.rosters.pop_front();
        }
    }
}

impl fmt::Debug for KeyWitness {
    /// Shows the claims and how far back they are known.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("KeyWitness")
            .field("store", &self.store)
            .field("known", &self.known)
            .field("usable", &self.usable)
            .finish_non_exhaustive()
    }
}
