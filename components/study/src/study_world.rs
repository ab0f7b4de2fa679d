//! The event loop of one case.

use std::{
    cmp,
    collections::{BTreeMap, BinaryHeap},
    time,
};

use rand::{RngExt as _, SeedableRng as _};

use crate::{
    case_result, control_count, engine_host, fault_script, request_plan, request_trace, study_case,
    world_event,
};

/// Time for which the instances find each other before requests arrive.
const START_SPAN: time::Duration = time::Duration::from_secs(8);

/// Time for which requests arrive before they are counted.
const WARM_SPAN: time::Duration = time::Duration::from_secs(10);

/// Time for which the requests that arrive are counted.
pub const COUNT_SPAN: time::Duration = time::Duration::from_secs(60);

/// Time between the first counted request and the fault.
const FAULT_AFTER: time::Duration = time::Duration::from_secs(20);

/// Time after the last arrival at which the case ends.
const END_SPAN: time::Duration = time::Duration::from_secs(40);

/// Time between two searches for work whose request has ended.
const INSPECT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Least time of a message between two processes.
const HOP_TIME: time::Duration = time::Duration::from_micros(600);

/// Largest addition to the time of a message.
const HOP_JITTER_US: u64 = 300;

/// An event in the queue: earliest first, then in the order it was made.
struct QueuedEvent {
    at: clock::Timestamp,
    number: u64,
    event: world_event::WorldEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// An instance of the study.
pub(crate) struct InstanceHost {
    pub(crate) entry: border::InstanceEntry,
    /// The instance's decisions; `None` once it has died.
    pub(crate) core: Option<control::ControlCore>,
    /// Time of the next wake that is in the queue.
    pub(crate) scheduled: clock::Timestamp,
}

/// The instances, engines and callers of one case.
pub struct StudyWorld {
    pub(crate) case: study_case::StudyCase,
    pub(crate) now: clock::Timestamp,
    queue: BinaryHeap<QueuedEvent>,
    events: u64,
    random: rand_chacha::ChaCha8Rng,
    pub(crate) instances: Vec<InstanceHost>,
    pub(crate) engines: Vec<engine_host::EngineHost>,
    pub(crate) engine_numbers: BTreeMap<ids::ServerName, usize>,
    pub(crate) request_numbers: BTreeMap<ids::RequestId, usize>,
    pub(crate) note_text: String,
    pub(crate) traces: Vec<request_trace::RequestTrace>,
    pub(crate) control: control_count::ControlCount,
    pub(crate) leaked_pieces: u32,
    pub(crate) count_begin: clock::Timestamp,
    pub(crate) fault_at: clock::Timestamp,
}

impl StudyWorld {
    /// Makes the world of a case.
    #[must_use]
    pub fn new(case: study_case::StudyCase) -> Self {
        let note = case.mix.release_note();
        let begin = clock::Timestamp::default() + START_SPAN;
        let count_begin = begin + WARM_SPAN;
        let end = count_begin + COUNT_SPAN;
        let plans = request_plan::requests(&case, begin, end);
        let mut world = Self {
            case,
            now: clock::Timestamp::default(),
            queue: BinaryHeap::new(),
            events: 0,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(case.seed ^ 0xA5A5),
            instances: fault_script::instances(&case),
            engines: Vec::new(),
            engine_numbers: BTreeMap::new(),
            request_numbers: BTreeMap::new(),
            note_text: serde_json::to_string(&note).unwrap_or_default(),
            traces: Vec::new(),
            control: control_count::ControlCount::default(),
            leaked_pieces: 0,
            count_begin,
            fault_at: count_begin + FAULT_AFTER,
        };
        for (number, entry) in note.added.engines.iter().enumerate() {
            let seed = case.seed.wrapping_mul(31) + u64::try_from(number).unwrap_or(0);
            world
                .engines
                .push(engine_host::EngineHost::new(entry, seed));
            world.engine_numbers.insert(entry.name.clone(), number);
        }
        world.plan_events(plans);
        world
    }

    /// Plays the case to its end.
    #[must_use]
    pub fn run(mut self) -> case_result::CaseResult {
        self.play();
        case_result::CaseResult::of(&self)
    }

    /// Plays the case to its end and returns what became of the counted requests.
    #[must_use]
    pub fn into_traces(mut self) -> Vec<request_trace::RequestTrace> {
        self.play();
        let begin = self.count_begin;
        let counted = self.traces.into_iter();
        counted.filter(|trace| trace.plan.at >= begin).collect()
    }

    /// Puts an event into the queue.
    pub(crate) fn push(&mut self, at: clock::Timestamp, event: world_event::WorldEvent) {
        self.events += 1;
        let number = self.events;
        self.queue.push(QueuedEvent { at, number, event });
    }

    /// Puts an event into the queue after the time of one message.
    pub(crate) fn send(&mut self, event: world_event::WorldEvent) {
        let jitter = self.random.random_range(0..HOP_JITTER_US);
        let at = self.now + HOP_TIME + time::Duration::from_micros(jitter);
        self.push(at, event);
    }

    /// Gives an event to an instance and does what follows.
    pub(crate) fn give(&mut self, number: usize, event: control::Event) {
        let mut actions = Vec::new();
        let now = self.now;
        if let Some(core) = self
            .instances
            .get_mut(number)
            .and_then(|host| host.core.as_mut())
        {
            core.handle(now, event, &mut actions);
        }
        for action in actions {
            self.act(number, action);
        }
        self.schedule_core(number);
    }

    fn play(&mut self) {
        let end = self.count_begin + COUNT_SPAN + END_SPAN;
        while let Some(queued) = self.queue.pop() {
            if queued.at > end {
                return;
            }
            self.now = queued.at;
            self.take(queued.event);
        }
    }

    fn plan_events(&mut self, plans: Vec<request_plan::RequestPlan>) {
        for number in 0..self.instances.len() {
            self.push(self.now, world_event::WorldEvent::CoreWake(number));
        }
        self.push(self.fault_at, world_event::WorldEvent::Fault);
        self.push(self.count_begin, world_event::WorldEvent::Inspect);
        for (number, plan) in plans.into_iter().enumerate() {
            self.push(plan.at, world_event::WorldEvent::Arrive(number));
            if let Some(at) = plan.leaves_at {
                self.push(at, world_event::WorldEvent::Leave(number));
            }
            self.request_numbers.insert(request_id(number), number);
            self.traces.push(request_trace::RequestTrace::new(plan));
        }
    }

    fn take(&mut self, event: world_event::WorldEvent) {
        match event {
            world_event::WorldEvent::Core(number, event) => self.give(number, event),
            world_event::WorldEvent::CoreWake(number) => {
                if let Some(host) = self.instances.get_mut(number) {
                    host.scheduled = clock::Timestamp::MAX;
                }
                self.give(number, control::Event::Wake);
            }
            world_event::WorldEvent::EngineWake(number) => self.wake_engine(number),
            world_event::WorldEvent::Engine(number, call) => self.call_engine(number, call),
            world_event::WorldEvent::Arrive(number) => self.arrive(number),
            world_event::WorldEvent::Leave(number) => self.leave(number),
            world_event::WorldEvent::Fault => self.cause_fault(),
            world_event::WorldEvent::Inspect => {
                self.inspect();
                let at = self.now + INSPECT_INTERVAL;
                self.push(at, world_event::WorldEvent::Inspect);
            }
        }
    }

    fn schedule_core(&mut self, number: usize) {
        let now = self.now;
        let Some(host) = self.instances.get_mut(number) else {
            return;
        };
        let Some(core) = &host.core else {
            return;
        };
        let at = core.next_wake().max(now);
        if at < host.scheduled {
            host.scheduled = at;
            self.push(at, world_event::WorldEvent::CoreWake(number));
        }
    }

    /// Lets a request arrive at a live instance, as the balancer picks it.
    fn arrive(&mut self, number: usize) {
        let alive: Vec<usize> = (0..self.instances.len())
            .filter(|instance| self.instances[*instance].core.is_some())
            .collect();
        let plan = self.traces[number].plan.clone();
        let draw = usize::try_from(plan.instance_draw).unwrap_or(0);
        let Some(core) = alive.get(draw % alive.len().max(1)).copied() else {
            return;
        };
        self.traces[number].core = Some(core);
        let name: &str = self.case.mix.into();
        let figures = self.case.mix.figures();
        let blocks = (0..u64::from(figures.shared_blocks)).map(|block| block + 1);
        let own_block = 1_000 + u64::try_from(number).unwrap_or(0);
        let spec = flow::FlowSpec::builder()
            .request(request_id(number))
            .workspace(format!("workspace-{}", plan.workspace))
            .class(name)
            .model(name)
            .prompt_tokens(plan.prompt_tokens)
            .max_tokens(figures.output.2)
            .prefix_blocks(blocks.chain([own_block]).collect::<Vec<_>>())
            .build();
        self.give(core, control::Event::RequestArrived(spec));
    }

    fn leave(&mut self, number: usize) {
        let trace = &mut self.traces[number];
        let Some(core) = trace.core.filter(|_| trace.ended_at.is_none()) else {
            return;
        };
        trace.ended_at = Some(self.now);
        self.give(core, control::Event::CallerGone(request_id(number)));
    }
}

/// Returns the id of a request by its number.
pub(crate) fn request_id(number: usize) -> ids::RequestId {
    let number = u128::try_from(number).unwrap_or(0);
    // Ids are spread as random ones are.
    ids::RequestId((number + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_C060_5CED_C835))
}
