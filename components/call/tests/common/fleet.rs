//! Keepers, a network, a platform list and a service, driven in virtual time.

use std::{collections, sync, time};

use rand::{RngExt as _, SeedableRng as _};

/// Time within which a repeat is kept from running, in milliseconds.
pub const RETENTION_MS: u64 = 20_000;

/// Longest time until an instance sees a change of the platform's list, in milliseconds.
const LIST_LAG_MS: u64 = 4_000;

/// Length from which an instance notices a pause before it acts on anything, in milliseconds.
const NOTICED_PAUSE_MS: u64 = 2_000;

/// What happens at a time.
#[derive(Clone, Debug)]
enum FleetEvent {
    Input(u64, u32, call::Input),
    /// The driver is about to write the first byte, for a process that issued it then.
    Start(
        u64,
        u32,
        ids::RequestId,
        ids::AttemptNumber,
        u64,
        time::Duration,
    ),
    Wake(u64, u32),
    /// The instance sees the platform's list and that its view may be acted on.
    Refresh(u64, u32),
    Resume(u64),
}

/// One instance.
struct FleetNode {
    keeper: call::CallManager,
    process: u32,
    /// When the process and its clock started.
    started: u64,
    alive: bool,
    /// When the current pause ends.
    resumes: Option<u64>,
    paused: u64,
    wake: u64,
    late: Vec<FleetEvent>,
}

/// A call as its caller sees it.
#[derive(Debug, Default)]
pub struct FleetCall {
    pub key: u128,
    pub aged: bool,
    pub told: Vec<(u64, call::CallOutcome)>,
}

/// Keepers, a network, a platform list and a service.
pub struct CallFleet {
    pub now: u64,
    pub calls: collections::BTreeMap<u128, FleetCall>,
    /// Runs at the service, by key: when and for which request.
    pub runs: collections::BTreeMap<u128, Vec<(u64, u128)>>,
    /// Whether the driver checks the time before the first byte.
    pub checks_start: bool,
    born: collections::BTreeMap<u128, u64>,
    nodes: collections::BTreeMap<u64, FleetNode>,
    listed: collections::BTreeSet<u64>,
    events: collections::BTreeMap<(u64, u64), FleetEvent>,
    count: u64,
    cut: collections::BTreeSet<u64>,
    /// When every running instance has seen the last change of the list.
    list_settles: u64,
    generator: rand_chacha::ChaCha8Rng,
    /// Part of all keys, so that fleets differ in the ranks of their instances.
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
            born: collections::BTreeMap::new(),
            nodes: collections::BTreeMap::new(),
            listed: (1..=size).collect(),
            events: collections::BTreeMap::new(),
            count: 0,
            cut: collections::BTreeSet::new(),
            list_settles: 0,
            generator: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            salt: u128::from(seed) << 64,
            policy: sync::Arc::new(policy),
        };
        for id in 1..=size {
            fleet.start(id);
        }
        fleet
    }

    /// Starts an instance, or starts it again with an empty memory.
    pub fn start(&mut self, id: u64) {
        let process = self.nodes.get(&id).map_or(1, |node| node.process + 1);
        if self.nodes.get(&id).is_some_and(|node| node.alive) {
            return;
        }
        if !self.listed.contains(&id) {
            if self.now < self.list_settles {
                return;
            }
            self.listed.insert(id);
            self.show_list();
        }
        let policy = Shared(sync::Arc::clone(&self.policy));
        let config = call::CallConfig::builder()
            .own(ids::InstanceId(id))
            .seed(self.now + id)
            .key_retention(time::Duration::from_millis(RETENTION_MS))
            .claim_policy(sync::Arc::new(policy))
            .build();
        let node = FleetNode {
            keeper: call::CallManager::with_config(config),
            process,
            started: self.now,
            alive: true,
            resumes: None,
            paused: 0,
            wake: u64::MAX,
            late: Vec::new(),
        };
        self.nodes.insert(id, node);
        let state = super::state([super::server("s1"), super::server("s2")]);
        self.show_view(id, true);
        self.input(id, call::Input::State(state));
    }

    pub fn crash(&mut self, id: u64) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.alive = false;
            node.late.clear();
            node.resumes = None;
        }
    }

    pub fn pause(&mut self, id: u64, millis: u64) {
        let resumes = self.now + millis;
        let node = self.nodes.get_mut(&id);
        if let Some(node) = node.filter(|node| node.alive && node.resumes.is_none()) {
            node.resumes = Some(resumes);
            node.paused = self.now;
            self.push(resumes, FleetEvent::Resume(id));
        }
    }

    /// Cuts a side off from the others; an empty side heals the network.
    pub fn partition(&mut self, side: collections::BTreeSet<u64>) {
        self.cut = side;
    }

    pub fn drain(&mut self, id: u64) {
        self.input(id, call::Input::DrainBegan);
    }

    /// Takes a dead instance off the platform's list, which the others see at different times.
    ///
    /// The list changes by one instance at a time, once all have seen the change before.
    pub fn unlist(&mut self, id: u64) {
        let dead = self.nodes.get(&id).is_some_and(|node| !node.alive);
        if dead && self.now >= self.list_settles && self.listed.remove(&id) {
            self.show_list();
        }
    }

    fn show_list(&mut self) {
        for other in self.ids() {
            let at = self.now + self.generator.random_range(0..LIST_LAG_MS);
            let process = self.nodes[&other].process;
            self.push(at, FleetEvent::Refresh(other, process));
        }
        self.list_settles = self.now + LIST_LAG_MS + NOTICED_PAUSE_MS;
    }

    /// A caller sends a call under a key through an instance.
    pub fn call(&mut self, id: u64, request: u128, key: u128, aged: bool) {
        if !self.nodes.get(&id).is_some_and(|node| node.alive) {
            return;
        }
        let born = *self.born.entry(key).or_insert(self.now);
        let mut spec = super::keyed(request, key);
        spec.key = spec.key.map(|key| call::ClaimKey(key.0 | self.salt));
        spec.key_age = aged.then(|| time::Duration::from_millis(self.now - born));
        let call = FleetCall {
            key,
            aged,
            told: Vec::new(),
        };
        self.calls.insert(request, call);
        self.input(id, call::Input::Arrived(spec));
    }

    pub fn cancel(&mut self, request: u128) {
        for id in self.ids() {
            self.input(id, call::Input::CallerGone(ids::RequestId(request)));
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some(((at, _), _)) = self.events.first_key_value() {
            if *at > end {
                break;
            }
            let ((at, _), event) = self.events.pop_first().expect("an event was seen");
            self.now = at.max(self.now);
            self.take(event);
        }
        self.now = end;
    }

    fn ids(&self) -> Vec<u64> {
        self.nodes.keys().copied().collect()
    }

    fn take(&mut self, event: FleetEvent) {
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
        let message = matches!(&event, FleetEvent::Input(_, _, call::Input::Message(..)));
        if !node.alive || (node.process != process && !message) {
            return;
        }
        if node.resumes.is_some() {
            node.late.push(event);
            return;
        }
        match event {
            FleetEvent::Input(_, _, input) => self.input(id, input),
            FleetEvent::Wake(..) => self.input(id, call::Input::Wake),
            FleetEvent::Refresh(..) => self.show_view(id, true),
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
        if node.resumes.is_none_or(|resumes| resumes > self.now) {
            return;
        }
        node.resumes = None;
        let mut late = std::mem::take(&mut node.late);
        let process = node.process;
        // What waited is handled in any order. A short pause goes unnoticed until the end of it.
        let noticed = self.now - node.paused > NOTICED_PAUSE_MS;
        if noticed || self.generator.random_bool(0.5) {
            self.show_view(id, false);
        }
        while !late.is_empty() {
            let index = self.generator.random_range(0..late.len());
            self.take(late.swap_remove(index));
        }
        self.show_view(id, false);
        let at = self.now + self.generator.random_range(1..500);
        self.push(at, FleetEvent::Refresh(id, process));
    }

    fn show_view(&mut self, id: u64, fresh: bool) {
        let mut view = super::view(id, self.listed.iter().copied().chain([id]));
        view.fresh = fresh;
        let process = self.nodes[&id].process;
        if let Some(own) = view.members.get_mut(&ids::InstanceId(id)) {
            own.incarnation = ids::Incarnation(u64::from(process));
        }
        self.input(id, call::Input::View(sync::Arc::new(view)));
    }

    /// The driver writes the first byte, unless it is too late.
    fn start_attempt(
        &mut self,
        id: u64,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        issued: u64,
        within: time::Duration,
    ) {
        let late = u128::from(self.now - issued) > within.as_millis();
        let refused = self.generator.random_bool(0.1);
        let result = if (late && self.checks_start) || refused {
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
        if node.resumes.is_some() {
            node.late.push(FleetEvent::Input(id, process, input));
            return;
        }
        let outputs = super::give(&mut node.keeper, now - node.started, input);
        let wake = node.keeper.next_wake();
        let wake_ms = (wake
            .as_micros()
            .div_ceil(1_000)
            .saturating_add(node.started))
        .max(now + 1);
        if wake < clock::Timestamp::MAX && (wake_ms < node.wake || node.wake <= now) {
            node.wake = wake_ms;
            self.push(wake_ms, FleetEvent::Wake(id, process));
        }
        for output in outputs {
            self.carry_out(id, process, output);
        }
    }

    fn carry_out(&mut self, id: u64, process: u32, output: call::Output) {
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
                    call.told.push((self.now, outcome));
                }
            }
        }
    }

    /// Delivers a message late, twice or never, as it happens.
    fn send(&mut self, from: u64, to: u64, message: call::Message) {
        let copies = match self.generator.random_range(0..100) {
            0..3 => 0,
            3..8 => 2,
            _ => 1,
        };
        let severed = self.cut.contains(&from) != self.cut.contains(&to);
        for _ in 0..copies {
            let delay = match self.generator.random_range(0..100) {
                0..3 => self.generator.random_range(100..6_000),
                3..10 => self.generator.random_range(5..300),
                _ => 1,
            };
            let input = call::Input::Message(ids::InstanceId(from), message.clone());
            let process = self.nodes.get(&to).map_or(0, |node| node.process);
            if from == to || !severed {
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

/// Lets several keepers share a policy.
struct Shared(sync::Arc<dyn call::ClaimPolicy>);

impl call::ClaimPolicy for Shared {
    fn quorum(&self, witnesses: usize) -> call::ClaimQuorum {
        self.0.quorum(witnesses)
    }
}
