//! The state machine that brings release notes into force.

use std::{collections, sync, time};

use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};

use crate::{
    input, message, note_log, output, peer_selector, reader_rule, readiness, readiness_gate,
    replication_status, replicator_config, service_schedule, state_fetch, state_sender,
};

/// Time between two comparisons of summaries with a peer.
pub const COMPARE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Maximum number of additional status requests per comparison while this instance isn't ready.
const STARTUP_STATUS_REQUESTS: usize = 16;

/// Maximum total size of the notes in a push, in bytes; a larger push contains only the status, and
/// a peer that lags fetches the whole state.
const PUSH_LIMIT_BYTES: usize = 16_000;

/// Replicates release notes and brings them into force at one instance.
pub struct NoteReplicator {
    pub(crate) own: ids::InstanceId,
    pub(crate) state: sync::Arc<note::StateInForce>,
    pub(crate) summary: message::Summary,
    pub(crate) log: note_log::NoteLog,
    pub(crate) parts: note::PartBuffer,
    pub(crate) gate: readiness_gate::ReadinessGate,
    pub(crate) schedule: service_schedule::ServiceSchedule,
    /// Whether this instance watches the configuration service.
    pub(crate) is_reader: bool,
    pub(crate) fetch: Option<state_fetch::StateFetch>,
    pub(crate) sender: state_sender::StateSender,
    pub(crate) refused: collections::VecDeque<replication_status::RefusedNote>,
    pub(crate) divergences: u64,
    /// Latest summary of each peer, with the time at which it was received.
    pub(crate) peers: collections::BTreeMap<ids::InstanceId, (message::Summary, clock::Timestamp)>,
    /// Notes that came into force since the last push.
    pub(crate) unpushed: Vec<message::LoggedNote>,
    pub(crate) state_changed: bool,
    pub(crate) random: rand_chacha::ChaCha8Rng,
    selector: Box<dyn peer_selector::PeerSelector>,
    fanout: usize,
    /// Number of peers in the latest membership view.
    peer_count: usize,
    started: Option<clock::Timestamp>,
    next_compare: clock::Timestamp,
}

impl NoteReplicator {
    /// Creates a replicator with no release note in force.
    #[must_use]
    pub fn new(own: ids::InstanceId, seed: u64) -> Self {
        let config = replicator_config::ReplicatorConfig::builder()
            .own(own)
            .seed(seed)
            .build();
        Self::with_config(config)
    }

    /// Creates a replicator with no release note in force from a configuration.
    #[must_use]
    pub fn with_config(config: replicator_config::ReplicatorConfig) -> Self {
        let state = sync::Arc::<note::StateInForce>::default();
        Self {
            own: config.own,
            summary: message::Summary::of(&state),
            state,
            log: note_log::NoteLog::default(),
            parts: note::PartBuffer::default(),
            gate: readiness_gate::ReadinessGate::default(),
            schedule: service_schedule::ServiceSchedule::new(),
            is_reader: false,
            fetch: None,
            sender: state_sender::StateSender::default(),
            refused: collections::VecDeque::new(),
            divergences: 0,
            peers: collections::BTreeMap::new(),
            unpushed: Vec::new(),
            state_changed: false,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(config.seed),
            selector: config.selector,
            fanout: config.fanout,
            peer_count: 0,
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

    /// Returns the status of this instance that is sent to peers.
    pub(crate) const fn own_status(&self) -> message::ReplicaStatus {
        message::ReplicaStatus {
            summary: self.summary,
            ready: self.gate.is_open(),
        }
    }

    /// Returns whether this instance may serve callers.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.gate.is_open()
    }

    /// Returns the readiness of this instance.
    #[must_use]
    pub fn readiness(&self) -> readiness::Readiness {
        self.gate.readiness(self.summary.revision)
    }

    /// Returns the replication status at `now`, for operators.
    #[must_use]
    pub fn status(&self, now: clock::Timestamp) -> replication_status::ReplicationStatus {
        let peers = self.peers.iter().map(|(instance, (summary, received_at))| {
            let lag = self.summary.revision.0.saturating_sub(summary.revision.0);
            let age = now.since(*received_at).as_millis();
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

    /// Returns the time at which [`input::Input::Wake`] is due.
    #[must_use]
    pub fn next_wake(&self) -> clock::Timestamp {
        let fetch = self.fetch.as_ref().map(state_fetch::StateFetch::deadline);
        let call = self.calls_service().then(|| self.schedule.next_call());
        [fetch, call]
            .into_iter()
            .flatten()
            .fold(self.next_compare, Ord::min)
    }

    /// Handles one input at `now` and appends the resulting outputs to `outputs`.
    pub fn handle(
        &mut self,
        now: clock::Timestamp,
        input: input::Input,
        outputs: &mut Vec<output::Output>,
    ) {
        self.started.get_or_insert(now);
        match input {
            input::Input::ServiceResponded(values) => self.handle_response(now, values, outputs),
            input::Input::Message(from, message) => {
                self.handle_message(now, from, message, outputs)
            }
            input::Input::View(view) => self.update_view(now, &view),
            input::Input::Wake => {}
        }
        self.run_timers(now, outputs);
        self.publish(outputs);
    }

    fn update_view(&mut self, now: clock::Timestamp, view: &sync::Arc<member::MemberView>) {
        self.selector.update_view(view);
        self.gate.update_view(view);
        self.peers
            .retain(|instance, _| view.members.contains_key(instance));
        let peer_count = peer_selector::peers(view).count();
        // Compares summaries immediately when peers were added.
        if peer_count > self.peer_count {
            self.next_compare = now;
        }
        self.peer_count = peer_count;
        let was_reader = self.is_reader;
        self.is_reader = view.listed && reader_rule::is_reader(view);
        if self.is_reader && !was_reader {
            self.schedule = service_schedule::ServiceSchedule::new();
        }
    }

    /// Returns whether this instance calls the configuration service: as a reader, or because it
    /// has not received any note yet.
    fn calls_service(&self) -> bool {
        let without_notes = self.summary.revision == ids::Revision(0) && self.started.is_some();
        self.is_reader || without_notes
    }

    fn run_timers(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        if now >= self.next_compare {
            let jitter = self.random.random_range(0.75..1.25);
            self.next_compare = now + COMPARE_INTERVAL.mul_f64(jitter);
            self.request_statuses(outputs);
            self.sender.free_idle(now);
        }
        if let Some(fetch) = &mut self.fetch
            && fetch.handle_timeout(now, outputs)
        {
            self.fetch = None;
        }
        let waits_for_peers = !self.is_reader
            && self
                .started
                .is_some_and(|started| now < started + service_schedule::PEER_GRACE_PERIOD);
        if waits_for_peers {
            self.schedule.delay_for_peers(now);
        }
        if self.calls_service() && now >= self.schedule.next_call() {
            self.schedule.call(now, self.summary.revision, outputs);
        }
    }

    /// Requests the status of one peer, and of further ones while this instance isn't ready.
    fn request_statuses(&mut self, outputs: &mut Vec<output::Output>) {
        let mut targets: Vec<_> = self
            .selector
            .comparison_target(&mut self.random)
            .into_iter()
            .collect();
        if !self.gate.is_open() {
            let missing = self.gate.missing_peers();
            targets.extend(missing.sample(&mut self.random, STARTUP_STATUS_REQUESTS));
        }
        for target in targets {
            let request = message::Message::StatusRequest(self.own_status());
            outputs.push(output::Output::Send(target, request));
        }
    }

    /// Publishes the state that came into force during this input and pushes its notes to peers.
    fn publish(&mut self, outputs: &mut Vec<output::Output>) {
        self.gate.update(self.summary.revision);
        if !std::mem::take(&mut self.state_changed) {
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
            let push = message::Message::Notes(self.own_status(), notes.clone());
            outputs.push(output::Output::Send(target, push));
        }
    }
}
