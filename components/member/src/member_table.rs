//! The membership state machine.

use std::{collections, sync, time};

use rand::{SeedableRng as _, seq::IndexedRandom as _};

use crate::{
    input, member_record, member_state, member_view, news_queue, output, partition_rule,
    probe_round, view_refresh,
};

/// Time between two probes of one random member each.
pub const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Members asked to probe a silent one.
pub(crate) const INDIRECT_PROBES: usize = 3;

/// Members that hear at once of an instance that joins, leaves or dies.
pub(crate) const URGENT_PEERS: usize = 3;

/// Changes in a row that members hear of at once; one more is allowed with each probe.
pub(crate) const URGENT_BURST: u32 = 4;

/// Shortest time a suspect has to refute.
const SUSPECT_FLOOR: time::Duration = time::Duration::from_millis(1_500);

/// Time a suspect has to refute, for each doubling of the fleet.
const SUSPECT_PER_DOUBLING: time::Duration = time::Duration::from_millis(500);

/// Shortest time between two reads of the platform's list.
const LIST_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Instances whose entries the platform's list may carry in a second of reading.
const LISTED_PER_SECOND: u64 = 20;

/// Time between two views that differ only in processes heard for the first time.
const LEARNED_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Time without any input after which the view counts as out of date.
pub const PAUSE_LIMIT: time::Duration = time::Duration::from_secs(2);

/// The membership as one instance sees it.
pub struct MemberTable {
    pub(crate) own: member_record::MemberRecord,
    pub(crate) records: collections::BTreeMap<ids::InstanceId, member_record::MemberRecord>,
    pub(crate) news: news_queue::NewsQueue,
    pub(crate) round: probe_round::ProbeRound,
    /// Instances that wait for an answer about a member this one probes on their behalf.
    pub(crate) waiting:
        collections::BTreeMap<ids::InstanceId, collections::BTreeSet<ids::InstanceId>>,
    pub(crate) refresh: Option<view_refresh::ViewRefresh>,
    view: sync::Arc<member_view::MemberView>,
    /// Whether the view has changed in what others act on.
    pub(crate) changed: bool,
    /// Whether processes were heard for the first time, which others needn't know at once.
    pub(crate) learned: bool,
    next_learned: clock::Timestamp,
    listed: bool,
    /// Changes that members may still hear of at once.
    pub(crate) urgent_left: u32,
    pub(crate) sequence: u64,
    last_input: clock::Timestamp,
    next_list: clock::Timestamp,
    next_probe: clock::Timestamp,
    pub(crate) random: rand_chacha::ChaCha8Rng,
}

impl MemberTable {
    /// Makes a table that knows this instance alone; its view is not fresh.
    #[must_use]
    pub fn new(own: border::InstanceEntry, incarnation: ids::Incarnation, seed: u64) -> Self {
        let mut record = member_record::MemberRecord::new(own);
        record.incarnation = incarnation;
        record.announce = true;
        let view = member_view::MemberView {
            own: record.instance.id,
            members: collections::BTreeMap::from([(record.instance.id, record.entry())]),
            ..Default::default()
        };
        Self {
            own: record,
            records: collections::BTreeMap::new(),
            news: news_queue::NewsQueue::default(),
            round: probe_round::ProbeRound::default(),
            waiting: collections::BTreeMap::new(),
            refresh: Some(view_refresh::ViewRefresh::default()),
            view: sync::Arc::new(view),
            changed: false,
            learned: false,
            next_learned: clock::Timestamp::default(),
            listed: false,
            urgent_left: URGENT_BURST,
            sequence: 0,
            last_input: clock::Timestamp::default(),
            next_list: clock::Timestamp::default(),
            next_probe: clock::Timestamp::default(),
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the current view.
    #[must_use]
    pub fn view(&self) -> &member_view::MemberView {
        &self.view
    }

    /// Returns when the table wants to be woken.
    #[must_use]
    pub fn next_wake(&self) -> clock::Timestamp {
        let probe = self.round.next_wake();
        let refresh = self.refresh.as_ref().map(view_refresh::ViewRefresh::ask_at);
        [probe, refresh]
            .into_iter()
            .flatten()
            .fold(self.next_list.min(self.next_probe), Ord::min)
    }

    /// Marks the view as out of date when `now` is long after the last input.
    ///
    /// Drivers call this before they act on anything at `now`; a process that was paused learns
    /// here that it was.
    pub fn detect_pause(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        if now.since(self.last_input) > PAUSE_LIMIT && self.listed {
            self.begin_refresh(now);
        }
        self.last_input = now;
        self.publish(outputs);
    }

    /// Takes one input at `now` and appends what is to be done to `outputs`.
    pub fn handle(
        &mut self,
        now: clock::Timestamp,
        input: input::Input,
        outputs: &mut Vec<output::Output>,
    ) {
        self.detect_pause(now, outputs);
        match input {
            input::Input::Listed(entries) => self.take_list(entries, outputs),
            input::Input::Message(from, message) => self.take_message(now, from, message, outputs),
            input::Input::DrainBegan => self.leave(outputs),
            input::Input::Wake => {}
        }
        self.run_timers(now, outputs);
        self.publish(outputs);
    }

    pub(crate) fn begin_refresh(&mut self, now: clock::Timestamp) {
        self.refresh = Some(view_refresh::ViewRefresh::default());
        self.round.forget();
        self.next_list = now;
        self.changed = true;
    }

    fn leave(&mut self, outputs: &mut Vec<output::Output>) {
        if self.own.leaving {
            return;
        }
        self.own.leaving = true;
        self.own.epoch += 1;
        self.changed = true;
        self.spread_at_once(self.own.instance.id, outputs);
    }

    fn take_list(
        &mut self,
        entries: Vec<border::InstanceEntry>,
        outputs: &mut Vec<output::Output>,
    ) {
        for record in self.records.values_mut() {
            record.listed = false;
        }
        for entry in entries {
            self.take_entry(entry);
        }
        self.records
            .retain(|_, record| record.listed || record.is_heard());
        if !self.listed {
            self.listed = true;
            self.spread_at_once(self.own.instance.id, outputs);
        }
        if let Some(refresh) = &mut self.refresh {
            refresh.take_list();
        }
        self.changed = true;
    }

    fn take_entry(&mut self, entry: border::InstanceEntry) {
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
        record.announce = false;
    }

    fn run_timers(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        if now >= self.next_list {
            let interval = if self.refresh.is_some() {
                LIST_INTERVAL
            } else {
                list_interval(self.records.len())
            };
            self.next_list = now + interval;
            outputs.push(output::Output::ReadList);
        }
        self.probe_indirectly(now, outputs);
        self.end_probes(now);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_INTERVAL;
            self.urgent_left = URGENT_BURST.min(self.urgent_left + 1);
            if self.learned && now >= self.next_learned {
                self.next_learned = now + LEARNED_INTERVAL;
                self.learned = false;
                self.changed = true;
            }
            self.bury_suspects(now, outputs);
            self.begin_probe(now, outputs);
        }
        self.run_refresh(now, outputs);
    }

    fn run_refresh(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        let Some(mut refresh) = self.refresh.take() else {
            return;
        };
        let expected = self.expected_peers();
        let alive = expected.iter().filter(|peer| self.is_alive(**peer)).count();
        let wanted = alive.max(usize::from(!expected.is_empty()));
        if refresh.is_done(wanted) {
            self.changed = true;
            return;
        }
        if now >= refresh.ask_at() {
            let chosen: Vec<_> = expected
                .sample(&mut self.random, view_refresh::REFRESH_PEERS)
                .copied()
                .collect();
            let asked = chosen
                .into_iter()
                .map(|peer| (self.probe(peer, outputs), peer))
                .collect();
            refresh.ask(now, asked);
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
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let records = self.records.values().chain([&self.own]);
        let mut view = member_view::MemberView {
            own: self.own.instance.id,
            version: self.view.version,
            fresh: self.refresh.is_none(),
            listed: self.listed,
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

/// Returns the time a suspect has to refute in a fleet of `members` others.
pub(crate) fn suspect_time(members: usize) -> time::Duration {
    let doublings = usize::BITS - members.leading_zeros();
    SUSPECT_FLOOR.max(SUSPECT_PER_DOUBLING * doublings)
}

/// Returns the time between two reads of a list, which keeps its bytes a second bounded.
fn list_interval(members: usize) -> time::Duration {
    let members = u64::try_from(members).unwrap_or(u64::MAX);
    let span = time::Duration::from_millis(members.saturating_mul(1_000) / LISTED_PER_SECOND);
    LIST_INTERVAL.max(span)
}
