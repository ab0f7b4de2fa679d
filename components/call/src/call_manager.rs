//! State machine that routes, retries and completes calls.

use std::{collections, fmt, sync, time};

use rand::SeedableRng as _;

use crate::{
    call_config, call_entry, input, key_witness, message, output, service_pool, witness_rank,
};

mod arrivals;
mod attempts;
mod claims;
mod completions;

/// Longest time for which calls are held while the membership view is stale.
const STALE_VIEW_HOLD: time::Duration = time::Duration::from_secs(2);

/// Routes the calls of one instance and acts as a witness for a share of the idempotency keys.
#[derive(Clone)]
pub struct CallManager {
    config: call_config::CallConfig,
    state: sync::Arc<note::StateInForce>,
    view: sync::Arc<member::MemberView>,
    generator: rand_chacha::ChaCha8Rng,
    calls: collections::BTreeMap<ids::RequestId, call_entry::CallEntry>,
    timers: collections::BTreeSet<(clock::Timestamp, ids::RequestId)>,
    pools: collections::BTreeMap<ids::ServiceName, service_pool::ServicePool>,
    /// Services with queued calls.
    queued_services: collections::BTreeSet<ids::ServiceName>,
    /// Services with server capacity released while the current input is handled.
    released_services: collections::BTreeSet<ids::ServiceName>,
    /// Number of unanswered calls of each workspace.
    workspace_counts: collections::BTreeMap<ids::WorkspaceName, u32>,
    unanswered: usize,
    /// Time until which calls are held because the membership view is stale.
    held_until: Option<clock::Timestamp>,
    witness: key_witness::KeyWitness,
    /// Member instances of each region.
    rosters: collections::BTreeMap<ids::RegionName, Vec<ids::InstanceId>>,
}

impl CallManager {
    /// Creates a manager with the default settings and without calls.
    #[must_use]
    pub fn new(own: ids::InstanceId, seed: u64) -> Self {
        Self::with_config(
            call_config::CallConfig::builder()
                .own(own)
                .seed(seed)
                .build(),
        )
    }

    /// Creates a manager without calls.
    #[must_use]
    pub fn with_config(config: call_config::CallConfig) -> Self {
        Self {
            state: sync::Arc::default(),
            view: sync::Arc::default(),
            generator: rand_chacha::ChaCha8Rng::seed_from_u64(config.seed),
            calls: collections::BTreeMap::new(),
            timers: collections::BTreeSet::new(),
            pools: collections::BTreeMap::new(),
            queued_services: collections::BTreeSet::new(),
            released_services: collections::BTreeSet::new(),
            workspace_counts: collections::BTreeMap::new(),
            unanswered: 0,
            held_until: None,
            witness: key_witness::KeyWitness::new(&config),
            rosters: collections::BTreeMap::new(),
            config,
        }
    }

    /// Returns the time of the next due timer.
    #[must_use]
    pub fn next_wake(&self) -> clock::Timestamp {
        let timer = self
            .timers
            .first()
            .map_or(clock::Timestamp::MAX, |(timer, _)| *timer);
        let capacity_check = self
            .queued_services
            .iter()
            .filter_map(|service| self.pools.get(service))
            .map(|pool| pool.capacity_check_at)
            .min()
            .unwrap_or(clock::Timestamp::MAX);
        let hold = self.held_until.unwrap_or(clock::Timestamp::MAX);
        timer
            .min(capacity_check)
            .min(hold)
            .min(self.witness.next_wake())
    }

    /// Returns the number of calls that have not been answered yet.
    #[must_use]
    pub const fn in_flight(&self) -> usize {
        self.unanswered
    }

    /// Handles one input at `now` and appends the resulting actions to `outputs`.
    pub fn handle(
        &mut self,
        now: clock::Timestamp,
        input: input::Input,
        outputs: &mut Vec<output::Output>,
    ) {
        self.witness.start(now);
        match input {
            input::Input::State(state) => self.handle_state(now, state, outputs),
            input::Input::View(view) => self.handle_view(now, view, outputs),
            input::Input::Arrived(spec) => self.handle_arrival(now, spec, outputs),
            input::Input::AttemptEnded(request, attempt, result) => {
                self.handle_result(now, request, attempt, &result, outputs);
            }
            input::Input::CallerGone(request) => self.handle_caller_gone(request, outputs),
            input::Input::Message(from, message) => {
                self.handle_message(now, from, message, outputs)
            }
            input::Input::DrainStarted => self.witness.hand_over_claims(now, outputs),
            input::Input::Wake => self.wake(now, outputs),
        }
        while let Some(service) = self.released_services.pop_first() {
            self.dispatch(now, &service, outputs);
        }
    }

    fn handle_state(
        &mut self,
        now: clock::Timestamp,
        state: sync::Arc<note::StateInForce>,
        outputs: &mut Vec<output::Output>,
    ) {
        self.state = state;
        self.refresh_pools(now, outputs);
    }

    fn handle_view(
        &mut self,
        now: clock::Timestamp,
        view: sync::Arc<member::MemberView>,
        outputs: &mut Vec<output::Output>,
    ) {
        let was_fresh = self.view.fresh;
        self.view = view;
        self.rosters = witness_rank::rosters(&self.view);
        self.witness.handle_view(now, &self.view, &self.rosters);
        if self.view.fresh {
            self.held_until = None;
        } else if was_fresh {
            self.held_until = Some(now + STALE_VIEW_HOLD);
        }
        self.refresh_pools(now, outputs);
    }

    fn wake(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        self.witness.wake(now, outputs);
        while let Some((timer, request)) = self.timers.first().copied() {
            if timer > now {
                break;
            }
            self.timers.pop_first();
            self.handle_timeout(now, request, outputs);
        }
        if self.held_until.is_some_and(|until| until <= now) {
            self.held_until = None;
        }
        let services: Vec<_> = self.queued_services.iter().cloned().collect();
        for service in services {
            self.dispatch(now, &service, outputs);
        }
    }

    fn handle_message(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        message: message::Message,
        outputs: &mut Vec<output::Output>,
    ) {
        match message {
            message::Message::Claimed {
                key,
                request,
                state,
                confirmed,
            } => {
                self.handle_claimed(now, from, (key, request), (state, confirmed), outputs);
            }
            message => self.witness.handle_message(now, from, message, outputs),
        }
    }

    fn has_usable_view(&self) -> bool {
        self.view.fresh && !self.view.partitioned
    }

    fn set_timer(&mut self, request: ids::RequestId, timer: clock::Timestamp) {
        if let Some(entry) = self.calls.get_mut(&request) {
            self.timers.remove(&(entry.timer, request));
            entry.timer = timer;
            self.timers.insert((timer, request));
        }
    }
}

impl fmt::Debug for CallManager {
    /// Formats the calls and the claims.
    ///
    /// Managers with equal debug output handle equal calls in the same way, except for differences
    /// in the measured load and health of the backend servers.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("CallManager")
            .field("calls", &self.calls)
            .field("witness", &self.witness)
            .finish_non_exhaustive()
    }
}
