//! The membership state machine.

use std::{collections, sync, time};

use rand::{SeedableRng as _, seq::IndexedRandom as _};

use crate::{
    input, member_record, member_state, member_view, output, partition_rule, probe_schedule,
    update_queue, view_refresh,
};

/// Time between two probes, each of one random member.
pub const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Number of members that are requested to probe an unresponsive member.
pub(crate) const INDIRECT_PROBES: usize = 3;

/// Number of members to which an urgent change is sent immediately: an instance joins, drains, is
/// declared dead or refutes a suspicion.
pub(crate) const URGENT_PEERS: usize = 3;

/// Capacity of the token bucket for changes that are sent immediately, one token each; one token is
/// added per probe interval.
pub(crate) const URGENT_BURST: u32 = 4;

/// Minimum time from a suspicion until the suspect is declared dead.
const SUSPECT_TIMEOUT_MIN: time::Duration = time::Duration::from_millis(1_500);

/// Time from a suspicion until the suspect is declared dead, for each doubling of the fleet.
const SUSPECT_TIMEOUT_PER_DOUBLING: time::Duration = time::Duration::from_millis(500);

/// Minimum time between two reads of the platform's list.
const LIST_INTERVAL_MIN: time::Duration = time::Duration::from_secs(2);

/// Maximum average rate of entries read from the platform's list, per second.
const LIST_ENTRIES_PER_SECOND: u64 = 20;

/// Minimum time between two views that differ only in incarnations received for the first time,
/// which are published in batches.
const INCARNATION_PUBLISH_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Time without any input after which the view counts as out of date, since the process may have
/// been paused.
pub const PAUSE_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Membership state machine of one instance.
pub struct MemberTable {
    pub(crate) own: member_record::MemberRecord,
    pub(crate) records: collections::BTreeMap<ids::InstanceId, member_record::MemberRecord>,
    pub(crate) updates: update_queue::UpdateQueue,
    pub(crate) schedule: probe_schedule::ProbeSchedule,
    /// Instances that requested an indirect probe, by the member to probe.
    pub(crate) indirect_requesters:
        collections::BTreeMap<ids::InstanceId, collections::BTreeSet<ids::InstanceId>>,
    /// Refresh in progress; `None` while the view is fresh.
    pub(crate) refresh: Option<view_refresh::ViewRefresh>,
    view: sync::Arc<member_view::MemberView>,
    /// Whether the view has a change that must be published immediately.
    pub(crate) view_changed: bool,
    /// Whether incarnations were received for the first time and wait for the next batch.
    pub(crate) incarnations_pending: bool,
    next_incarnation_publish: clock::Timestamp,
    /// Whether the platform's list was read.
    list_read: bool,
    /// Tokens of the bucket that limits the changes sent immediately.
    pub(crate) urgent_budget: u32,
    pub(crate) sequence: u64,
    last_input: clock::Timestamp,
    next_list_read: clock::Timestamp,
    next_probe: clock::Timestamp,
    pub(crate) random: rand_chacha::ChaCha8Rng,
}

impl MemberTable {
    /// Creates a table that contains only this instance; its view is not fresh.
    #[must_use]
    pub fn new(own: border::InstanceEntry, incarnation: ids::Incarnation, seed: u64) -> Self {
        let mut record = member_record::MemberRecord::new(own);
        record.incarnation = incarnation;
        record.include_entry = true;
        let view = member_view::MemberView {
            own: record.instance.id,
            members: collections::BTreeMap::from([(record.instance.id, record.entry())]),
            ..Default::default()
        };
        Self {
            own: record,
            records: collections::BTreeMap::new(),
            updates: update_queue::UpdateQueue::default(),
            schedule: probe_schedule::ProbeSchedule::default(),
            indirect_requesters: collections::BTreeMap::new(),
            refresh: Some(view_refresh::ViewRefresh::default()),
            view: sync::Arc::new(view),
            view_changed: false,
            incarnations_pending: false,
            next_incarnation_publish: clock::Timestamp::default(),
            list_read: false,
            urgent_budget: URGENT_BURST,
            sequence: 0,
            last_input: clock::Timestamp::default(),
            next_list_read: clock::Timestamp::default(),
            next_probe: clock::Timestamp::default(),
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the current view.
    #[must_use]
    pub fn view(&self) -> &member_view::MemberView {
        &self.view
    }

    /// Returns the time at which [`input::Input::Wake`] is due.
    #[must_use]
    pub fn next_wake(&self) -> clock::Timestamp {
        let probe = self.schedule.next_wake();
        let refresh = self
            .refresh
            .as_ref()
            .map(view_refresh::ViewRefresh::next_probe_at);
        [probe, refresh]
            .into_iter()
            .flatten()
            .fold(self.next_list_read.min(self.next_probe), Ord::min)
    }

    /// Marks the view as out of date when `now` is more than [`PAUSE_LIMIT`] after the last input.
    ///
    /// The caller must call this method before it acts on anything at `now`, so that a process that
    /// was paused doesn't rely on its old view. Before the first read of the platform's list, the
    /// initial refresh is still in progress.
    pub fn detect_pause(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        if now.since(self.last_input) > PAUSE_LIMIT && self.list_read {
            self.begin_refresh(now);
        }
        self.last_input = now;
        self.publish(outputs);
    }

    /// Handles one input at `now` and appends the resulting outputs to `outputs`.
    pub fn handle(
        &mut self,
        now: clock::Timestamp,
        input: input::Input,
        outputs: &mut Vec<output::Output>,
    ) {
        self.detect_pause(now, outputs);
        match input {
            input::Input::Listed(entries) => self.apply_list(entries, outputs),
            input::Input::Message(from, message) => {
                self.handle_message(now, from, message, outputs)
            }
            input::Input::DrainStarted => self.begin_drain(outputs),
            input::Input::Wake => {}
        }
        self.run_timers(now, outputs);
        self.publish(outputs);
    }

    pub(crate) fn begin_refresh(&mut self, now: clock::Timestamp) {
        self.refresh = Some(view_refresh::ViewRefresh::default());
        self.schedule.clear();
        self.next_list_read = now;
        self.view_changed = true;
    }

    fn begin_drain(&mut self, outputs: &mut Vec<output::Output>) {
        if self.own.draining {
            return;
        }
        self.own.draining = true;
        self.own.epoch += 1;
        self.view_changed = true;
        self.gossip_now(self.own.instance.id, outputs);
    }

    fn apply_list(
        &mut self,
        entries: Vec<border::InstanceEntry>,
        outputs: &mut Vec<output::Output>,
    ) {
        for record in self.records.values_mut() {
            record.listed = false;
        }
        for entry in entries {
            self.apply_entry(entry);
        }
        self.records
            .retain(|_, record| record.listed || record.has_live_process());
        if !self.list_read {
            self.list_read = true;
            // Announces this instance to the listed peers.
            self.gossip_now(self.own.instance.id, outputs);
        }
        if let Some(refresh) = &mut self.refresh {
            refresh.record_list();
        }
        self.view_changed = true;
    }

    fn apply_entry(&mut self, entry: border::InstanceEntry) {
        if entry.id == self.own.instance.id {
            self.own.instance.leaving = entry.leaving;
            return;
        }
        let record = self
            .records
            .entry(entry.id)
            .or_insert_with(|| member_record::MemberRecord::new(entry.clone()));
        record.instance = entry;
        record.listed = true;
        record.include_entry = false;
    }

    fn run_timers(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        if now >= self.next_list_read {
            let interval = if self.refresh.is_some() {
                LIST_INTERVAL_MIN
            } else {
                list_interval(self.records.len())
            };
            self.next_list_read = now + interval;
            outputs.push(output::Output::ReadList);
        }
        self.probe_indirectly(now, outputs);
        self.expire_probes(now);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_INTERVAL;
            self.urgent_budget = URGENT_BURST.min(self.urgent_budget + 1);
            if self.incarnations_pending && now >= self.next_incarnation_publish {
                self.next_incarnation_publish = now + INCARNATION_PUBLISH_INTERVAL;
                self.incarnations_pending = false;
                self.view_changed = true;
            }
            self.expire_suspects(now, outputs);
            self.probe_next(now, outputs);
        }
        self.run_refresh(now, outputs);
    }

    fn run_refresh(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        let Some(mut refresh) = self.refresh.take() else {
            return;
        };
        let expected = self.expected_peers();
        let alive = expected.iter().filter(|peer| self.is_alive(**peer)).count();
        // With any peer expected, one acknowledgement is required even if all are unresponsive;
        // otherwise an instance that is cut off from its peers would complete its refresh.
        let available = alive.max(usize::from(!expected.is_empty()));
        if refresh.is_complete(available) {
            self.view_changed = true;
            return;
        }
        if now >= refresh.next_probe_at() {
            let selected: Vec<_> = expected
                .sample(&mut self.random, view_refresh::REFRESH_PEERS)
                .copied()
                .collect();
            let probed = selected
                .into_iter()
                .map(|peer| (self.send_probe(peer, outputs), peer))
                .collect();
            refresh.record_probes(now, probed);
        }
        self.refresh = Some(refresh);
    }

    /// Returns the peers that the platform lists as live.
    fn expected_peers(&self) -> Vec<ids::InstanceId> {
        self.records
            .iter()
            .filter(|(_, record)| record.is_expected())
            .map(|(instance, _)| *instance)
            .collect()
    }

    fn is_alive(&self, instance: ids::InstanceId) -> bool {
        self.records
            .get(&instance)
            .is_some_and(|record| record.health == member_state::MemberState::Alive)
    }

    fn publish(&mut self, outputs: &mut Vec<output::Output>) {
        if !std::mem::take(&mut self.view_changed) {
            return;
        }
        let records = self.records.values().chain([&self.own]);
        let mut view = member_view::MemberView {
            own: self.own.instance.id,
            version: self.view.version,
            fresh: self.refresh.is_none(),
            listed: self.list_read,
            partitioned: partition_rule::is_partitioned(self.records.values()),
            members: records
                .map(|record| (record.instance.id, record.entry()))
                .collect(),
        };
        if view == *self.view {
            return;
        }
        view.version += 1;
        self.view = sync::Arc::new(view);
        outputs.push(output::Output::ViewChanged(sync::Arc::clone(&self.view)));
    }
}

/// Returns the time until a suspect is declared dead in a fleet with `members` other instances.
pub(crate) fn suspect_timeout(members: usize) -> time::Duration {
    let doublings = usize::BITS - members.leading_zeros();
    SUSPECT_TIMEOUT_MIN.max(SUSPECT_TIMEOUT_PER_DOUBLING * doublings)
}

/// Returns the time between two reads of the list, which grows with the list so that the read rate
/// stays bounded.
fn list_interval(members: usize) -> time::Duration {
    let members = u64::try_from(members).unwrap_or(u64::MAX);
    let interval =
        time::Duration::from_millis(members.saturating_mul(1_000) / LIST_ENTRIES_PER_SECOND);
    LIST_INTERVAL_MIN.max(interval)
}
