//! The loop over the machines of a fleet.

use std::{collections, time};

use rand::{RngExt as _, SeedableRng as _};

use crate::{
    chooser_kind, fleet_event, fleet_layout, fleet_node, link_model, run_meter, service_model,
};

/// Time that the service and the list take to answer.
pub(crate) const ANSWER_DELAY: time::Duration = time::Duration::from_millis(5);

/// Time by which the platform's list lags.
const LIST_LAG: time::Duration = time::Duration::from_secs(10);

/// The loop over the machines of a fleet.
pub struct FleetRun {
    /// Delay, loss and partitions.
    pub links: link_model::LinkModel,
    /// The configuration service.
    pub service: service_model::ServiceModel,
    /// What was counted.
    pub meter: run_meter::RunMeter,
    pub(crate) now: clock::Timestamp,
    pub(crate) nodes: Vec<fleet_node::FleetNode>,
    queue: collections::BTreeMap<(clock::Timestamp, u64), fleet_event::DueEvent>,
    /// For each instance, since when it is up or down, as the list will tell after its lag.
    since: Vec<(clock::Timestamp, bool)>,
    selector: chooser_kind::ChooserKind,
    pub(crate) sequence: u64,
    pub(crate) random: rand_chacha::ChaCha8Rng,
}

impl FleetRun {
    /// Makes a run of a fleet whose instances all start within the first half second.
    #[must_use]
    pub fn new(
        layout: fleet_layout::FleetLayout,
        selector: chooser_kind::ChooserKind,
        seed: u64,
    ) -> Self {
        let mut run = Self {
            links: link_model::LinkModel::default(),
            service: service_model::ServiceModel::default(),
            meter: run_meter::RunMeter::default(),
            now: clock::Timestamp::from_millis(LIST_LAG.as_secs() * 1_000),
            nodes: Vec::new(),
            queue: collections::BTreeMap::new(),
            since: Vec::new(),
            selector,
            sequence: 0,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..layout.instances {
            let node = run.node(layout.entry(index), 1);
            run.nodes.push(node);
            run.since.push((clock::Timestamp::default(), true));
        }
        for index in 0..run.nodes.len() {
            let delay = time::Duration::from_millis(run.random.random_range(0..500));
            run.nodes[index].wake_at = run.now + delay;
            run.push(run.now + delay, index, fleet_event::FleetEvent::Wake);
        }
        run
    }

    /// Returns the time of the run.
    #[must_use]
    pub const fn now(&self) -> clock::Timestamp {
        self.now
    }

    /// Returns the instances.
    #[must_use]
    pub fn nodes(&self) -> &[fleet_node::FleetNode] {
        &self.nodes
    }

    /// Ends the process of an instance.
    pub fn stop(&mut self, index: usize) {
        self.nodes[index].is_up = false;
        self.nodes[index].watch = None;
        self.since[index] = (self.now, false);
    }

    /// Starts a new process of an instance in place of the one that may run.
    pub fn start(&mut self, index: usize) {
        let process = self.nodes[index].process + 1;
        let node = self.node(self.nodes[index].entry.clone(), process);
        self.nodes[index] = node;
        self.since[index] = (self.now, true);
        self.push(self.now, index, fleet_event::FleetEvent::Wake);
    }

    /// Pauses the process of an instance; what arrives meanwhile waits.
    pub fn pause(&mut self, index: usize, span: time::Duration) {
        self.nodes[index].paused_until = self.now + span;
    }

    /// Asks an instance to drain.
    pub fn drain(&mut self, index: usize) {
        let mut outputs = Vec::new();
        let input = member::Input::DrainStarted;
        self.nodes[index]
            .members
            .handle(self.now, input, &mut outputs);
        self.take_member(index, outputs);
    }

    /// Publishes a note at the service, which answers the watches that wait for it.
    pub fn publish(&mut self, revision: u64, text: String, base: bool) {
        self.service.publish(ids::Revision(revision), text, base);
        self.answer_watches();
    }

    /// Changes how the service behaves.
    pub fn set_service(&mut self, health: service_model::ServiceHealth) {
        self.service.health = health;
        self.answer_watches();
    }

    /// Runs for a span of time.
    pub fn run_for(&mut self, span: time::Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((moment, _), due) = entry.remove_entry();
            self.now = self.now.max(moment);
            self.deliver(due);
        }
        self.now = end;
    }

    fn node(&self, entry: border::InstanceEntry, process: u64) -> fleet_node::FleetNode {
        let seed = self.now.as_micros() ^ entry.id.0.rotate_left(32) ^ process.rotate_left(48);
        let config = spread::ReplicatorConfig::builder()
            .own(entry.id)
            .seed(seed)
            .selector(self.selector.selector())
            .build();
        let incarnation = ids::Incarnation(process);
        fleet_node::FleetNode {
            members: member::MemberTable::new(entry.clone(), incarnation, seed),
            spreader: spread::NoteReplicator::with_config(config),
            entry,
            is_up: true,
            process,
            started: self.now,
            paused_until: clock::Timestamp::default(),
            history: Vec::new(),
            ready_at: None,
            wake_at: self.now,
            watch: None,
        }
    }

    pub(crate) fn push(
        &mut self,
        at: clock::Timestamp,
        node: usize,
        event: fleet_event::FleetEvent,
    ) {
        self.sequence += 1;
        let due = fleet_event::DueEvent {
            node,
            process: self.nodes[node].process,
            event,
        };
        self.queue.insert((at, self.sequence), due);
    }

    fn deliver(&mut self, due: fleet_event::DueEvent) {
        let node = &self.nodes[due.node];
        if !node.is_up || node.process != due.process {
            return;
        }
        if self.now < node.paused_until {
            let until = node.paused_until;
            self.push(until, due.node, due.event);
            return;
        }
        self.take_event(due.node, due.event);
        self.observe(due.node);
        self.plan_wake(due.node);
    }

    fn take_event(&mut self, index: usize, event: fleet_event::FleetEvent) {
        match event {
            fleet_event::FleetEvent::Wake => {
                if self.now >= self.nodes[index].wake_at {
                    self.nodes[index].wake_at = clock::Timestamp::MAX;
                    self.member(index, member::Input::Wake);
                    self.spread(index, spread::Input::Wake);
                }
            }
            fleet_event::FleetEvent::Member(from, message) => {
                self.member(index, member::Input::Message(from, message));
            }
            fleet_event::FleetEvent::Spread(from, message) => {
                self.spread(index, spread::Input::Message(from, message));
            }
            fleet_event::FleetEvent::Listed => {
                let list = self.list();
                self.member(index, member::Input::Listed(list));
            }
            fleet_event::FleetEvent::Read(after) => self.answer_read(index, after),
            fleet_event::FleetEvent::WatchEnd(number) => {
                if self.nodes[index]
                    .watch
                    .is_some_and(|(open, _)| open == number)
                {
                    self.nodes[index].watch = None;
                    self.spread(index, spread::Input::ServiceResponded(Some(Vec::new())));
                }
            }
        }
    }

    fn answer_read(&mut self, index: usize, after: ids::Revision) {
        let answer = match self.service.health {
            service_model::ServiceHealth::Silent => return,
            service_model::ServiceHealth::Down => None,
            _ => Some(self.service.after(after)),
        };
        self.spread(index, spread::Input::ServiceResponded(answer));
    }

    /// Returns the platform's list, which shows starts and ends only after its lag.
    fn list(&self) -> Vec<border::InstanceEntry> {
        let pairs = self.nodes.iter().zip(&self.since);
        pairs
            .filter(|(_, (since, up))| *up || self.now.since(*since) < LIST_LAG)
            .map(|(node, _)| node.entry.clone())
            .collect()
    }

    fn plan_wake(&mut self, index: usize) {
        let wake = self.nodes[index].next_wake().max(self.now);
        if wake < self.nodes[index].wake_at {
            self.nodes[index].wake_at = wake;
            self.push(wake, index, fleet_event::FleetEvent::Wake);
        }
    }

    fn observe(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let summary = node.spreader.summary();
        let last = node.history.last().map(|(_, summary)| *summary);
        if last != Some(summary) && summary.revision > ids::Revision(0) {
            node.history.push((now, summary));
            self.meter.reversions += u64::from(last > Some(summary));
        }
        if node.ready_at.is_none() && node.spreader.is_ready() {
            node.ready_at = Some((now, summary.revision));
            let floor = self.floor(index);
            self.meter.reversions += u64::from(summary.revision < floor);
        }
    }

    /// Returns the least revision that serving peers on the instance's side of any partition had
    /// when its process was started.
    fn floor(&self, index: usize) -> ids::Revision {
        let node = &self.nodes[index];
        let cut_off = &self.links.cut_off;
        let side = cut_off.contains(&node.entry.id);
        let peers = self.nodes.iter().filter(|peer| {
            let served = peer
                .ready_at
                .is_some_and(|(ready, _)| ready <= node.started);
            peer.is_up && served && cut_off.contains(&peer.entry.id) == side
        });
        peers
            .map(|peer| peer.revision_at(node.started))
            .min()
            .unwrap_or_default()
    }
}
