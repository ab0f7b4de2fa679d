//! The state machine that brings release notes into force.

use std::{collections, sync, time};

use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};

use crate::{
    input, message, note_log, output, peer_selector, reader_rule, readiness, replication_status,
    replicator_config, service_reader, start_gate, state_donor, state_fetch,
};

/// Time between two comparisons of summaries with a peer.
pub const COMPARE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Peers that an instance which isn't ready compares summaries with at once.
const START_COMPARISONS: usize = 16;

/// Bytes of new notes that are pushed; peers ask for more.
const PUSH_LIMIT_BYTES: usize = 16_000;

/// Brings release notes into force at one instance.
pub struct NoteReplicator {
    pub(crate) own: ids::InstanceId,
    pub(crate) state: sync::Arc<note::StateInForce>,
    pub(crate) summary: message::Summary,
    pub(crate) log: note_log::NoteLog,
    pub(crate) parts: note::PartBuffer,
    pub(crate) gate: start_gate::StartGate,
    pub(crate) reader: service_reader::ServiceReader,
    pub(crate) is_reader: bool,
    pub(crate) fetch: Option<state_fetch::StateFetch>,
    pub(crate) donor: state_donor::StateDonor,
    pub(crate) refused: collections::VecDeque<replication_status::RefusedNote>,
    pub(crate) divergences: u64,
    pub(crate) peers: collections::BTreeMap<ids::InstanceId, (message::Summary, clock::Timestamp)>,
    /// Notes that have come into force since the last push.
    pub(crate) unpushed: Vec<message::LoggedNote>,
    pub(crate) changed: bool,
    pub(crate) random: rand_chacha::ChaCha8Rng,
    selector: Box<dyn peer_selector::PeerSelector>,
    fanout: usize,
    reachable: usize,
    started: Option<clock::Timestamp>,
    next_compare: clock::Timestamp,
}

impl NoteReplicator {
    /// Makes a spreader with nothing in force.
    #[must_use]
    pub fn new(own: ids::InstanceId, seed: u64) -> Self {
        let config = replicator_config::ReplicatorConfig::builder()
            .own(own)
            .seed(seed)
            .build();
        Self::with_config(config)
    }

    /// Makes a spreader with nothing in force, with settings of its own.
    #[must_use]
    pub fn with_config(config: replicator_config::ReplicatorConfig) -> Self {
        let state = sync::Arc::<note::StateInForce>::default();
        Self {
            own: config.own,
            summary: message::Summary::of(&state),
            state,
            log: note_log::NoteLog::default(),
            parts: note::PartBuffer::default(),
            gate: start_gate::StartGate::default(),
            reader: service_reader::ServiceReader::new(),
            is_reader: false,
            fetch: None,
            donor: state_donor::StateDonor::default(),
            refused: collections::VecDeque::new(),
            divergences: 0,
            peers: collections::BTreeMap::new(),
            unpushed: Vec::new(),
            changed: false,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(config.seed),
            selector: config.selector,
            fanout: config.fanout,
            reachable: 0,
            started: None,
            next_compare: clock::Timestamp::default(),
        }
    }

    /// Returns the state in force.
    #[must_use]
    pub const fn state(&self) -> &sync::Arc<note::StateInForce> {
        &self.state
    }

    /// Returns the revision and digest of the state in force.
    #[must_use]
    pub const fn summary(&self) -> message::Summary {
        self.summary
    }

    /// Returns what peers are told of this instance.
    pub(crate) const fn standing(&self) -> message::ReplicaStatus {
        message::ReplicaStatus {
            summary: self.summary,
            ready: self.gate.is_open(),
        }
    }

    /// Returns whether this instance may serve with what it has in force.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.gate.is_open()
    }

    /// Returns whether this instance may serve, and what it waits for.
    #[must_use]
    pub fn readiness(&self) -> readiness::Readiness {
        self.gate.readiness(self.summary.revision)
    }

    /// Returns what operators read back, at `now`.
    #[must_use]
    pub fn status(&self, now: clock::Timestamp) -> replication_status::ReplicationStatus {
        let peers = self.peers.iter().map(|(instance, (summary, heard))| {
            let lag = self.summary.revision.0.saturating_sub(summary.revision.0);
            let age = now.since(*heard).as_millis();
            replication_status::PeerStatus {
                instance: *instance,
                summary: *summary,
                lag,
                age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            }
        });
        replication_status::ReplicationStatus {
            summary: self.summary,
            readiness: self.readiness(),
            reader: self.is_reader,
            divergences: self.divergences,
            refused: self.refused.iter().cloned().collect(),
            peers: peers.collect(),
        }
    }

    /// Returns when the spreader wants to be woken.
    #[must_use]
    pub fn next_wake(&self) -> clock::Timestamp {
        let fetch = self.fetch.as_ref().map(state_fetch::StateFetch::deadline);
        let call = self.calls_service().then(|| self.reader.next_call());
        [fetch, call]
            .into_iter()
            .flatten()
            .fold(self.next_compare, Ord::min)
    }

    /// Takes one input at `now` and appends what is to be done to `outputs`.
    pub fn handle(
        &mut self,
        now: clock::Timestamp,
        input: input::Input,
        outputs: &mut Vec<output::Output>,
    ) {
        self.started.get_or_insert(now);
        match input {
            input::Input::ServiceAnswered(values) => self.take_answer(now, values, outputs),
            input::Input::Message(from, message) => self.take_message(now, from, message, outputs),
            input::Input::View(view) => self.take_view(now, &view),
            input::Input::Wake => {}
        }
        self.run_timers(now, outputs);
        self.publish(outputs);
    }

    fn take_view(&mut self, now: clock::Timestamp, view: &sync::Arc<member::MemberView>) {
        self.selector.take_view(view);
        self.gate.take_view(view);
        self.peers
            .retain(|instance, _| view.members.contains_key(instance));
        let reachable = peer_selector::peers(view).count();
        if reachable > self.reachable {
            self.next_compare = now;
        }
        self.reachable = reachable;
        let was_reader = self.is_reader;
        self.is_reader = view.listed && reader_rule::is_reader(view);
        if self.is_reader && !was_reader {
            self.reader = service_reader::ServiceReader::new();
        }
    }

    /// Returns whether this instance calls the service: as a reader, or because no peer gives it
    /// notes.
    fn calls_service(&self) -> bool {
        let starved = self.summary.revision == ids::Revision(0) && self.started.is_some();
        self.is_reader || starved
    }

    fn run_timers(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        if now >= self.next_compare {
            let jitter = self.random.random_range(0.75..1.25);
            self.next_compare = now + COMPARE_INTERVAL.mul_f64(jitter);
            self.compare(outputs);
            self.donor.free(now);
        }
        if let Some(fetch) = &mut self.fetch
            && fetch.expire(now, outputs)
        {
            self.fetch = None;
        }
        let patient = !self.is_reader
            && self
                .started
                .is_some_and(|started| now < started + service_reader::PEERS_FIRST);
        if patient {
            self.reader.wait_for_peers(now);
        }
        if self.calls_service() && now >= self.reader.next_call() {
            self.reader.call(now, self.summary.revision, outputs);
        }
    }

    /// Compares summaries with a peer, or with a few as long as this instance isn't ready.
    fn compare(&mut self, outputs: &mut Vec<output::Output>) {
        let mut targets: Vec<_> = self
            .selector
            .compare_target(&mut self.random)
            .into_iter()
            .collect();
        if !self.gate.is_open() {
            let unheard = self.gate.unheard();
            targets.extend(unheard.sample(&mut self.random, START_COMPARISONS));
        }
        for target in targets {
            let ask = message::Message::StatusRequest(self.standing());
            outputs.push(output::Output::Send(target, ask));
        }
    }

    /// Tells of what has come into force during this input.
    fn publish(&mut self, outputs: &mut Vec<output::Output>) {
        self.gate.check(self.summary.revision);
        if !std::mem::take(&mut self.changed) {
            return;
        }
        outputs.push(output::Output::InForce(sync::Arc::clone(&self.state)));
        let mut notes = std::mem::take(&mut self.unpushed);
        let bytes: usize = notes.iter().map(|note| note.text.len()).sum();
        if bytes > PUSH_LIMIT_BYTES {
            notes.clear();
        }
        if !self.gate.is_open() && !self.is_reader {
            return;
        }
        for target in self.selector.push_targets(self.fanout, &mut self.random) {
            let push = message::Message::Notes(self.standing(), notes.clone());
            outputs.push(output::Output::Send(target, push));
        }
    }
}
