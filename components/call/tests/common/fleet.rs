//! Simulation of call managers, a network, the platform's list and a service in virtual time.

use std::{collections, sync, time};

use rand::{RngExt as _, SeedableRng as _};

/// Time for which a retry under the same key does not run the call again, in milliseconds.
pub const RETENTION_MS: u64 = 20_000;

/// Longest time until an instance receives a change of the platform's list, in milliseconds.
const LIST_LAG_MS: u64 = 4_000;

/// Length of a pause above which an instance detects it before it handles any event, in
/// milliseconds.
const DETECTED_PAUSE_MS: u64 = 2_000;

/// Scheduled event of the simulation.
#[derive(Clone, Debug)]
enum FleetEvent {
    Input(u64, u32, call::Input),
    /// The driver is about to write the first byte of an attempt that the process issued earlier.
    Start(
        u64,
        u32,
        ids::RequestId,
        ids::AttemptNumber,
        u64,
        time::Duration,
    ),
    Wake(u64, u32),
    /// The instance receives the platform's list and its view becomes fresh.
    Refresh(u64, u32),
    Resume(u64),
}

/// Simulated instance.
struct FleetNode {
    manager: call::CallManager,
    process: u32,
    /// Time at which the process and its clock started.
    started_at: u64,
    alive: bool,
    /// End of the current pause.
    resumes_at: Option<u64>,
    paused_at: u64,
    wake: u64,
    deferred: Vec<FleetEvent>,
}

/// Call with the outcomes that its caller received.
#[derive(Debug, Default)]
pub struct FleetCall {
    pub key: u128,
    pub has_age: bool,
    pub outcomes: Vec<(u64, call::CallOutcome)>,
}

/// Simulation of call managers, a network, the platform's list and a service.
pub struct CallFleet {
    pub now: u64,
    pub calls: collections::BTreeMap<u128, FleetCall>,
    /// Runs at the service by key, with their time and request.
    pub runs: collections::BTreeMap<u128, Vec<(u64, u128)>>,
    /// Whether the driver checks the elapsed time before it writes the first byte.
    pub checks_start: bool,
    created_at: collections::BTreeMap<u128, u64>,
    nodes: collections::BTreeMap<u64, FleetNode>,
    listed: collections::BTreeSet<u64>,
    events: collections::BTreeMap<(u64, u64), FleetEvent>,
    count: u64,
    partition: collections::BTreeSet<u64>,
    /// Time at which every running instance has received the last change of the list.
    list_settled_at: u64,
    generator: rand_chacha::ChaCha8Rng,
    /// Part of all keys, so that the ranks of the instances differ between fleets.
    salt: u128,
    policy: sync::Arc<dyn call::ClaimPolicy>,
}

impl CallFleet {
    pub fn new(size: u64, seed: u64, policy: impl call::ClaimPolicy + 'static) -> Self {
        let mut fleet = Self {
            now: 0,
            calls: collections::BTreeMap::new(),
            runs: collections::BTreeMap::new(),
            checks_start: true,
            created_at: collections::BTreeMap::new(),
            nodes: collections::BTreeMap::new(),
            listed: (1..=size).collect(),
            events: collections::BTreeMap::new(),
            count: 0,
            partition: collections::BTreeSet::new(),
            list_settled_at: 0,
            generator: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            salt: u128::from(seed) << 64,
            policy: sync::Arc::new(policy),
        };
        for id in 1..=size {
            fleet.start(id);
        }
        fleet
    }

    /// Starts an instance, or restarts a stopped one without its claims.
    pub fn start(&mut self, id: u64) {
        let process = self.nodes.get(&id).map_or(1, |node| node.process + 1);
        if self.nodes.get(&id).is_some_and(|node| node.alive) {
            return;
        }
        if !self.listed.contains(&id) {
            if self.now < self.list_settled_at {
                return;
            }
            self.listed.insert(id);
            self.announce_list();
        }
        let policy = SharedPolicy(sync::Arc::clone(&self.policy));
        let config = call::CallConfig::builder()
            .own(ids::InstanceId(id))
            .seed(self.now + id)
            .key_retention(time::Duration::from_millis(RETENTION_MS))
            .claim_policy(sync::Arc::new(policy))
            .build();
        let node = FleetNode {
            manager: call::CallManager::with_config(config),
            process,
            started_at: self.now,
            alive: true,
            resumes_at: None,
            paused_at: 0,
            wake: u64::MAX,
            deferred: Vec::new(),
        };
        self.nodes.insert(id, node);
        let state = super::state([super::server("s1"), super::server("s2")]);
        self.update_view(id, true);
        self.input(id, call::Input::State(state));
    }

    pub fn crash(&mut self, id: u64) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.alive = false;
            node.deferred.clear();
            node.resumes_at = None;
        }
    }

    pub fn pause(&mut self, id: u64, millis: u64) {
        let resumes_at = self.now + millis;
        let node = self.nodes.get_mut(&id);
        if let Some(node) = node.filter(|node| node.alive && node.resumes_at.is_none()) {
            node.resumes_at = Some(resumes_at);
            node.paused_at = self.now;
            self.push(resumes_at, FleetEvent::Resume(id));
        }
    }

    /// Partitions the instances in `side` from the others; an empty `side` ends the partition.
    pub fn set_partition(&mut self, side: collections::BTreeSet<u64>) {
        self.partition = side;
    }

    pub fn drain(&mut self, id: u64) {
        self.input(id, call::Input::DrainStarted);
    }

    /// Removes a dead instance from the platform's list; the others receive the change at different
    /// times.
    ///
    /// The list changes by one instance at a time, after all have received the previous change.
    pub fn unlist(&mut self, id: u64) {
        let is_dead = self.nodes.get(&id).is_some_and(|node| !node.alive);
        if is_dead && self.now >= self.list_settled_at && self.listed.remove(&id) {
            self.announce_list();
        }
    }

    fn announce_list(&mut self) {
        for other in self.ids() {
            let at = self.now + self.generator.random_range(0..LIST_LAG_MS);
            let process = self.nodes[&other].process;
            self.push(at, FleetEvent::Refresh(other, process));
        }
        self.list_settled_at = self.now + LIST_LAG_MS + DETECTED_PAUSE_MS;
    }

    /// Sends a call with an idempotency key to an instance.
    pub fn call(&mut self, id: u64, request: u128, key: u128, has_age: bool) {
        if !self.nodes.get(&id).is_some_and(|node| node.alive) {
            return;
        }
        let created_at = *self.created_at.entry(key).or_insert(self.now);
        let mut spec = super::keyed_call(request, key);
        spec.key = spec.key.map(|key| call::ClaimKey(key.0 | self.salt));
        spec.key_age = has_age.then(|| time::Duration::from_millis(self.now - created_at));
        let call = FleetCall {
            key,
            has_age,
            outcomes: Vec::new(),
        };
        self.calls.insert(request, call);
        self.input(id, call::Input::Arrived(spec));
    }

    pub fn cancel(&mut self, request: u128) {
        for id in self.ids() {
            self.input(id, call::Input::CallerGone(ids::RequestId(request)));
        }
    }

    /// Advances the time and handles the events that are due.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some(((at, _), _)) = self.events.first_key_value() {
            if *at > end {
                break;
            }
            let ((at, _), event) = self
                .events
                .pop_first()
                .expect("the event queue must not be empty after its first event was read");
            self.now = at.max(self.now);
            self.handle_event(event);
        }
        self.now = end;
    }

    fn ids(&self) -> Vec<u64> {
        self.nodes.keys().copied().collect()
    }

    fn handle_event(&mut self, event: FleetEvent) {
        let (id, process) = match &event {
            FleetEvent::Input(id, process, _)
            | FleetEvent::Wake(id, process)
            | FleetEvent::Refresh(id, process)
            | FleetEvent::Start(id, process, ..) => (*id, *process),
            FleetEvent::Resume(id) => return self.resume(*id),
        };
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let is_message = matches!(&event, FleetEvent::Input(_, _, call::Input::Message(..)));
        if !node.alive || (node.process != process && !is_message) {
            return;
        }
        if node.resumes_at.is_some() {
            node.deferred.push(event);
            return;
        }
        match event {
            FleetEvent::Input(_, _, input) => self.input(id, input),
            FleetEvent::Wake(..) => self.input(id, call::Input::Wake),
            FleetEvent::Refresh(..) => self.update_view(id, true),
            FleetEvent::Start(_, _, request, attempt, issued, within) => {
                self.start_attempt(id, request, attempt, issued, within);
            }
            FleetEvent::Resume(_) => {}
        }
    }

    fn resume(&mut self, id: u64) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if node
            .resumes_at
            .is_none_or(|resumes_at| resumes_at > self.now)
        {
            return;
        }
        node.resumes_at = None;
        let mut deferred = std::mem::take(&mut node.deferred);
        let process = node.process;
        // Deferred events are handled in random order. A short pause may be detected only
        // afterwards.
        let is_detected = self.now - node.paused_at > DETECTED_PAUSE_MS;
        if is_detected || self.generator.random_bool(0.5) {
            self.update_view(id, false);
        }
        while !deferred.is_empty() {
            let index = self.generator.random_range(0..deferred.len());
            self.handle_event(deferred.swap_remove(index));
        }
        self.update_view(id, false);
        let at = self.now + self.generator.random_range(1..500);
        self.push(at, FleetEvent::Refresh(id, process));
    }

    fn update_view(&mut self, id: u64, fresh: bool) {
        let mut view = super::view(id, self.listed.iter().copied().chain([id]));
        view.fresh = fresh;
        let process = self.nodes[&id].process;
        if let Some(own) = view.members.get_mut(&ids::InstanceId(id)) {
            own.incarnation = ids::Incarnation(u64::from(process));
        }
        self.input(id, call::Input::View(sync::Arc::new(view)));
    }

    /// Writes the first byte of an attempt, unless its time has passed.
    fn start_attempt(
        &mut self,
        id: u64,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        issued: u64,
        within: time::Duration,
    ) {
        let is_late = u128::from(self.now - issued) > within.as_millis();
        let is_refused = self.generator.random_bool(0.1);
        let result = if (is_late && self.checks_start) || is_refused {
            super::not_sent()
        } else {
            let key = self.calls[&request.0].key;
            self.runs
                .entry(key)
                .or_default()
                .push((self.now, request.0));
            if self.generator.random_bool(0.2) {
                super::lost()
            } else {
                call::AttemptResult::Replied(200)
            }
        };
        let at = self.now + self.generator.random_range(1..300);
        let process = self.nodes[&id].process;
        let input = call::Input::AttemptEnded(request, attempt, result);
        self.push(at, FleetEvent::Input(id, process, input));
    }

    fn input(&mut self, id: u64, input: call::Input) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id).filter(|node| node.alive) else {
            return;
        };
        let process = node.process;
        if node.resumes_at.is_some() {
            node.deferred.push(FleetEvent::Input(id, process, input));
            return;
        }
        let outputs = super::handle_input(&mut node.manager, now - node.started_at, input);
        let wake = node.manager.next_wake();
        let wake_ms = (wake
            .as_micros()
            .div_ceil(1_000)
            .saturating_add(node.started_at))
        .max(now + 1);
        if wake < clock::Timestamp::MAX && (wake_ms < node.wake || node.wake <= now) {
            node.wake = wake_ms;
            self.push(wake_ms, FleetEvent::Wake(id, process));
        }
        for output in outputs {
            self.execute(id, process, output);
        }
    }

    fn execute(&mut self, id: u64, process: u32, output: call::Output) {
        match output {
            call::Output::Send(to, message) => self.send(id, to.0, message),
            call::Output::Attempt {
                request,
                attempt,
                start_within,
                ..
            } => {
                let at = self.now + self.generator.random_range(0..20);
                let start =
                    FleetEvent::Start(id, process, request, attempt, self.now, start_within);
                self.push(at, start);
            }
            call::Output::Finish(request, outcome) => {
                if let Some(call) = self.calls.get_mut(&request.0) {
                    call.outcomes.push((self.now, outcome));
                }
            }
        }
    }

    /// Sends a message, which may be delayed, duplicated or lost.
    fn send(&mut self, from: u64, to: u64, message: call::Message) {
        let copies = match self.generator.random_range(0..100) {
            0..3 => 0,
            3..8 => 2,
            _ => 1,
        };
        let is_severed = self.partition.contains(&from) != self.partition.contains(&to);
        for _ in 0..copies {
            let delay = match self.generator.random_range(0..100) {
                0..3 => self.generator.random_range(100..6_000),
                3..10 => self.generator.random_range(5..300),
                _ => 1,
            };
            let input = call::Input::Message(ids::InstanceId(from), message.clone());
            let process = self.nodes.get(&to).map_or(0, |node| node.process);
            if from == to || !is_severed {
                let delay = if from == to { 0 } else { delay };
                self.push(self.now + delay, FleetEvent::Input(to, process, input));
            }
        }
    }

    fn push(&mut self, at: u64, event: FleetEvent) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }
}

/// Policy shared by several call managers.
struct SharedPolicy(sync::Arc<dyn call::ClaimPolicy>);

impl call::ClaimPolicy for SharedPolicy {
    fn quorum(&self, witnesses: usize) -> call::ClaimQuorum {
        self.0.quorum(witnesses)
    }
}
