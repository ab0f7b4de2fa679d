//! The state machine of calls.

use std::{collections, fmt, sync, time};

use rand::SeedableRng as _;

use crate::{
    call_config, call_entry, input, key_witness, message, output, service_lane, witness_rank,
};

mod arrivals;
mod attempts;
mod claims;
mod endings;

/// Longest time for which calls wait while the view is too old to act on.
const STALE_HOLD: time::Duration = time::Duration::from_secs(2);

/// Routes the calls of one instance and is a witness of a share of the idempotency keys.
#[derive(Clone)]
pub struct CallManager {
    config: call_config::CallConfig,
    state: sync::Arc<note::StateInForce>,
    view: sync::Arc<member::MemberView>,
    generator: rand_chacha::ChaCha8Rng,
    calls: collections::BTreeMap<ids::RequestId, call_entry::CallEntry>,
    timers: collections::BTreeSet<(clock::Timestamp, ids::RequestId)>,
    lanes: collections::BTreeMap<ids::ServiceName, service_lane::ServiceLane>,
    /// Services with waiting calls.
    waiting: collections::BTreeSet<ids::ServiceName>,
    /// Services at whose servers room has become free during the current input.
    freed: collections::BTreeSet<ids::ServiceName>,
    /// Unanswered calls of each workspace.
    workspaces: collections::BTreeMap<ids::WorkspaceName, u32>,
    unanswered: usize,
    /// Until when calls wait because the view is too old to act on.
    held_until: Option<clock::Timestamp>,
    witness: key_witness::KeyWitness,
    /// Instances of each region.
    rosters: collections::BTreeMap<ids::RegionName, Vec<ids::InstanceId>>,
}

impl CallManager {
    /// Makes a keeper with the usual settings and without calls.
    #[must_use]
    pub fn new(own: ids::InstanceId, seed: u64) -> Self {
        Self::with_config(
            call_config::CallConfig::builder()
                .own(own)
                .seed(seed)
                .build(),
        )
    }

    /// Makes a keeper without calls.
    #[must_use]
    pub fn with_config(config: call_config::CallConfig) -> Self {
        Self {
            state: sync::Arc::default(),
            view: sync::Arc::default(),
            generator: rand_chacha::ChaCha8Rng::seed_from_u64(config.seed),
            calls: collections::BTreeMap::new(),
            timers: collections::BTreeSet::new(),
            lanes: collections::BTreeMap::new(),
            waiting: collections::BTreeSet::new(),
            freed: collections::BTreeSet::new(),
            workspaces: collections::BTreeMap::new(),
            unanswered: 0,
            held_until: None,
            witness: key_witness::KeyWitness::new(&config),
            rosters: collections::BTreeMap::new(),
            config,
        }
    }

    /// Returns when the keeper wants to be woken.
    #[must_use]
    pub fn next_wake(&self) -> clock::Timestamp {
        let timer = self
            .timers
            .first()
            .map_or(clock::Timestamp::MAX, |(timer, _)| *timer);
        let retry = self
            .waiting
            .iter()
            .filter_map(|service| self.lanes.get(service))
            .map(|lane| lane.retry_at)
            .min()
            .unwrap_or(clock::Timestamp::MAX);
        let held = self.held_until.unwrap_or(clock::Timestamp::MAX);
        timer.min(retry).min(held).min(self.witness.next_wake())
    }

    /// Returns the number of calls whose callers wait for an answer.
    #[must_use]
    pub const fn in_flight(&self) -> usize {
        self.unanswered
    }

    /// Takes one input at `now` and appends what is to be done to `outputs`.
    pub fn handle(
        &mut self,
        now: clock::Timestamp,
        input: input::Input,
        outputs: &mut Vec<output::Output>,
    ) {
        self.witness.start(now);
        match input {
            input::Input::State(state) => self.take_state(now, state, outputs),
            input::Input::View(view) => self.take_view(now, view, outputs),
            input::Input::Arrived(spec) => self.arrive(now, spec, outputs),
            input::Input::AttemptEnded(request, attempt, result) => {
                self.take_result(now, request, attempt, &result, outputs);
            }
            input::Input::CallerGone(request) => self.abandon(request, outputs),
            input::Input::Message(from, message) => self.take_message(now, from, message, outputs),
            input::Input::DrainBegan => self.witness.drain(now, outputs),
            input::Input::Wake => self.wake(now, outputs),
        }
        while let Some(service) = self.freed.pop_first() {
            self.pump(now, &service, outputs);
        }
    }

    fn take_state(
        &mut self,
        now: clock::Timestamp,
        state: sync::Arc<note::StateInForce>,
        outputs: &mut Vec<output::Output>,
    ) {
        self.state = state;
        self.refresh_lanes(now, outputs);
    }

    fn take_view(
        &mut self,
        now: clock::Timestamp,
        view: sync::Arc<member::MemberView>,
        outputs: &mut Vec<output::Output>,
    ) {
        let was_fresh = self.view.fresh;
        self.view = view;
        self.rosters = witness_rank::rosters(&self.view);
        self.witness.take_view(now, &self.view, &self.rosters);
        if self.view.fresh {
            self.held_until = None;
        } else if was_fresh {
            self.held_until = Some(now + STALE_HOLD);
        }
        self.refresh_lanes(now, outputs);
    }

    fn wake(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        self.witness.wake(now, outputs);
        while let Some((timer, request)) = self.timers.first().copied() {
            if timer > now {
                break;
            }
            self.timers.pop_first();
            self.time_out(now, request, outputs);
        }
        if self.held_until.is_some_and(|until| until <= now) {
            self.held_until = None;
        }
        let services: Vec<_> = self.waiting.iter().cloned().collect();
        for service in services {
            self.pump(now, &service, outputs);
        }
    }

    fn take_message(
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
                self.take_claimed(now, from, (key, request), (state, confirmed), outputs);
            }
            message => self.witness.take_message(now, from, message, outputs),
        }
    }

    fn view_is_usable(&self) -> bool {
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
    /// Shows the calls and the claims; keepers that show the same treat equal calls alike, but for
    /// what they have learnt of the backend servers.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("CallKeeper")
            .field("calls", &self.calls)
            .field("witness", &self.witness)
            .finish_non_exhaustive()
    }
}
