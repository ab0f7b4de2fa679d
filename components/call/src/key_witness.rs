//! Witness side of claims: records the claims of keys and answers claim requests.

use std::{collections, fmt, sync, time};

use crate::{
    call_config, claim_key, claim_policy, claim_state::ClaimState, claim_store, coverage_window,
    held_claim, message, output, recovery_task, witness_rank,
};

mod handoff;

/// Time for which claims are kept beyond the retention, for calls that end late.
const RETENTION_GRACE: time::Duration = time::Duration::from_secs(60);

/// Member instances of the region from one point in time on.
#[derive(Clone, Debug)]
struct RosterVersion {
    since: clock::Timestamp,
    roster: Vec<ids::InstanceId>,
}

/// Records the claims of the keys for which this instance is a witness.
///
/// The witness answers claims only under a fresh view without a partition. It confirms that it has
/// every earlier claim of a key only if it has been a witness of the key for the whole window of
/// the claim, either in one process or with claims recovered from enough older witnesses.
#[derive(Clone)]
pub struct KeyWitness {
    own: ids::InstanceId,
    retention: time::Duration,
    policy: sync::Arc<dyn claim_policy::ClaimPolicy>,
    store: claim_store::ClaimStore,
    rosters: collections::VecDeque<RosterVersion>,
    /// Window in which the recorded claims are complete; unset before the start.
    coverage: Option<coverage_window::CoverageWindow>,
    /// Time at which an instance was last removed from the roster.
    ///
    /// The removal may have raised the rank of this instance and made it a witness of more keys.
    promoted_at: Option<clock::Timestamp>,
    has_usable_view: bool,
    recovery: recovery_task::RecoveryTask,
}

impl KeyWitness {
    /// Creates a witness without claims.
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
            coverage: None,
            promoted_at: None,
            has_usable_view: false,
            recovery: recovery_task::RecoveryTask::default(),
        }
    }

    /// Returns the time of the next due timer.
    pub fn next_wake(&self) -> clock::Timestamp {
        self.store.next_expiry().min(self.recovery.next_wake())
    }

    /// Starts the coverage of this process at the time of its first input; later calls do nothing.
    pub fn start(&mut self, now: clock::Timestamp) {
        if self.coverage.is_none() {
            self.coverage = Some(coverage_window::CoverageWindow::new(
                now,
                time::Duration::ZERO,
            ));
            self.recovery.start(now);
        }
    }

    /// Removes expired claims and sends the due requests of the claim recovery.
    pub fn wake(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        self.store.expire(now);
        if self.coverage(now) >= self.retention {
            self.recovery.finish();
        }
        for (peer, recovery_request) in self.recovery.due_requests(now) {
            outputs.push(output::Output::Send(peer, recovery_request));
        }
    }

    /// Handles a change of the membership view.
    pub fn handle_view(
        &mut self,
        now: clock::Timestamp,
        view: &member::MemberView,
        rosters: &collections::BTreeMap<ids::RegionName, Vec<ids::InstanceId>>,
    ) {
        self.has_usable_view = view.fresh && !view.partitioned;
        let Some(own) = view.members.get(&self.own) else {
            self.has_usable_view = false;
            return;
        };
        let Some(roster) = rosters.get(&own.instance.region) else {
            return;
        };
        let previous = self.rosters.back().map(|version| &version.roster);
        if previous == Some(roster) {
            return;
        }
        let is_promoted = previous.is_some_and(|previous| {
            previous.len() > witness_rank::WITNESS_COUNT
                && previous.iter().any(|old| !roster.contains(old))
        });
        if is_promoted {
            self.promoted_at = Some(now);
        }
        self.recovery.set_peers(roster, self.own, own.incarnation);
        self.rosters.push_back(RosterVersion {
            since: now,
            roster: roster.clone(),
        });
        self.drop_old_rosters(now);
    }

    /// Handles a message to the witness.
    pub fn handle_message(
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
                let page = self.recovery_page(now, from, process, after);
                outputs.push(output::Output::Send(from, page));
            }
            message::Message::HandOver {
                process,
                after,
                claims,
                coverage_window,
                more,
            } => {
                let page = recovery_task::RecoveryPage {
                    process,
                    after,
                    claims: &claims,
                    coverage_window,
                    more,
                };
                self.handle_page(now, from, page, outputs);
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
        let may_answer = self.may_answer(claim.key);
        let state = if may_answer {
            self.store.expire(now);
            self.store.claim(now, claim)
        } else {
            ClaimState::Unknown
        };
        message::Message::Claimed {
            key: claim.key,
            request: claim.request,
            state,
            confirmed: may_answer && self.confirms(now, claim.key, window),
        }
    }

    fn handle_page(
        &mut self,
        now: clock::Timestamp,
        peer: ids::InstanceId,
        page: recovery_task::RecoveryPage<'_>,
        outputs: &mut Vec<output::Output>,
    ) {
        let mut is_complete = true;
        for claim in page.claims {
            is_complete &= self.store.merge(now, *claim);
        }
        if !is_complete {
            return;
        }
        if let Some(recovery_request) = self.recovery.handle_page(now, peer, &page) {
            outputs.push(output::Output::Send(peer, recovery_request));
        }
        self.extend_coverage(now);
    }

    fn roster(&self) -> &[ids::InstanceId] {
        self.rosters.back().map_or(&[], |version| &version.roster)
    }

    /// Returns whether this instance may answer claims of `key`: the view is usable and the
    /// instance is a witness of the key.
    fn may_answer(&self, key: claim_key::ClaimKey) -> bool {
        let is_witness_of_key = self
            .rosters
            .back()
            .is_some_and(|version| witness_rank::is_witness(key, &version.roster, self.own));
        self.has_usable_view && is_witness_of_key
    }

    /// Returns whether every claim of `key` within the window is recorded.
    fn confirms(
        &self,
        now: clock::Timestamp,
        key: claim_key::ClaimKey,
        window: time::Duration,
    ) -> bool {
        let window = window.min(self.retention);
        self.coverage(now) >= window && self.was_witness_since(key, now.before(window))
    }

    /// Returns the time before `now` for which the recorded claims are complete, regardless of
    /// rank.
    fn coverage(&self, now: clock::Timestamp) -> time::Duration {
        self.coverage
            .map_or(time::Duration::ZERO, |window| window.length(now))
    }

    fn was_witness_since(&self, key: claim_key::ClaimKey, from: clock::Timestamp) -> bool {
        self.rosters
            .iter()
            .rev()
            .scan(clock::Timestamp::MAX, |until, version| {
                let overlaps = *until > from;
                *until = version.since;
                overlaps.then_some(version)
            })
            .all(|version| witness_rank::is_witness(key, &version.roster, self.own))
    }

    /// Returns the time before `now` for which every claim with this instance as a witness is
    /// recorded.
    fn witness_coverage(&self, now: clock::Timestamp) -> time::Duration {
        let coverage = self.coverage(now);
        self.promoted_at
            .map_or(coverage, |promoted_at| coverage.min(now.since(promoted_at)))
    }

    /// Extends the coverage to that of the claims recovered from enough older witnesses.
    ///
    /// At most `omitted` peers have a shorter coverage than the recovered one. At least
    /// `confirmations` of the other witnesses of any key therefore have the recovered coverage.
    fn extend_coverage(&mut self, now: clock::Timestamp) {
        let roster = self.roster();
        let witnesses = roster.len().min(witness_rank::WITNESS_COUNT);
        let confirmations = self.policy.quorum(witnesses).confirmations;
        let Some(omitted) = witnesses.checked_sub(1 + confirmations) else {
            return;
        };
        let peers = roster.iter().copied().filter(|peer| *peer != self.own);
        let recovered = self.recovery.recovered_coverage(now, peers, omitted);
        if recovered > self.coverage(now) {
            self.coverage = Some(coverage_window::CoverageWindow::new(now, recovered));
        }
    }

    fn drop_old_rosters(&mut self, now: clock::Timestamp) {
        let oldest = now.before(self.retention);
        while self.rosters.len() > 1 && self.rosters[1].since <= oldest {
            self.rosters.pop_front();
        }
    }
}

impl fmt::Debug for KeyWitness {
    /// Formats the claims and their coverage window.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("KeyWitness")
            .field("store", &self.store)
            .field("coverage", &self.coverage)
            .field("usable", &self.has_usable_view)
            .finish_non_exhaustive()
    }
}
