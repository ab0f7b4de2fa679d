//! Answers of the platform's store that arrive after the view has changed in another way.

mod common;

use std::collections;

use common::{at, ms};
use proptest::prelude::*;

/// Revision of the first view.
const START_REVISION: u64 = 10;

fn removal(server: &str) -> relay::ViewChange {
    relay::ViewChange::BackendRemoved(server.into())
}

fn written(server: &str) -> relay::ViewChange {
    relay::ViewChange::Backend(common::server(server, "a"))
}

/// Returns two cores with the servers `s1` and `s2`.
fn two_cores() -> [relay::RelayCore; 2] {
    let entries = [common::server("s1", "a"), common::server("s2", "a")];
    let config = common::config(1, vec![common::order_route()]);
    [1, 2].map(|number| {
        let mut core = common::core_of(number);
        let view = common::full_view_update(START_REVISION, &config, &entries);
        core.apply_store_read(at(0), at(0), view);
        core
    })
}

/// Returns the servers that receive calls.
fn called_servers(core: &mut relay::RelayCore, now: clock::Timestamp) -> Vec<String> {
    let mut avoid = Vec::new();
    let mut called = Vec::new();
    while let Ok(selection) = core.select_server(now, &common::PLAIN_SERVICE.into(), &avoid) {
        avoid.push(selection.key);
        called.push(selection.entry.server.to_string());
    }
    called.sort();
    called
}

#[test]
fn late_answer_of_a_read_brings_a_removed_server_back() {
    let [mut late, mut reader] = two_cores();
    reader.apply_store_read(
        at(520),
        at(510),
        common::view_changes(15, vec![removal("s1")]),
    );
    late.apply_update(at(530), reader.full_update(at(525)));

    late.apply_store_read(
        at(700),
        at(500),
        common::view_changes(12, vec![written("s1")]),
    );
    let behind = reader.apply_update(at(710), late.full_update(at(705)));

    assert_eq!(called_servers(&mut late, at(710)), ["s2"]);
    assert!(!behind);
}

#[test]
fn late_complete_read_brings_a_removed_server_back() {
    let [mut late, mut reader] = two_cores();
    late.record_compaction();
    reader.apply_store_read(
        at(520),
        at(510),
        common::view_changes(15, vec![removal("s1")]),
    );
    late.apply_update(at(530), reader.full_update(at(525)));
    let config = common::config(1, vec![common::order_route()]);
    let entries = [common::server("s1", "a"), common::server("s2", "a")];

    late.apply_store_read(
        at(700),
        at(500),
        common::full_view_update(12, &config, &entries),
    );

    assert_eq!(called_servers(&mut late, at(710)), ["s2"]);
    assert_eq!(late.tracker().view().position.revision, 15);
    assert_eq!(late.tracker().read_base(), None);
}

/// Number of instances in the histories below.
const INSTANCES: usize = 3;

/// Number of servers in the histories below.
const SERVERS: usize = 4;

/// Step of a history of the store and its readers.
#[derive(Clone, Copy, Debug)]
enum HistoryStep {
    /// A server writes its entry.
    Write(usize),
    /// A server's entry is removed.
    Remove(usize),
    /// A server writes that it is draining.
    Drain(usize),
    /// An instance reads the store; the answer is on its way.
    SendRead(usize),
    /// The answer of the read under way arrives.
    FinishRead(usize),
    /// An instance tells another one of its view.
    Tell(usize, usize),
    /// An instance copies the view of another one.
    Copy(usize, usize),
    /// The store forgets its history for an instance.
    Compact(usize),
    /// Nothing happens for as long as an outage of the store lasts.
    Wait,
}

fn history_step() -> impl Strategy<Value = HistoryStep> {
    let server = 0..SERVERS;
    let instance = 0..INSTANCES;
    let pair = (0..INSTANCES, 0..INSTANCES);
    prop_oneof![
        3 => server.clone().prop_map(HistoryStep::Write),
        2 => server.clone().prop_map(HistoryStep::Remove),
        1 => server.prop_map(HistoryStep::Drain),
        4 => instance.clone().prop_map(HistoryStep::SendRead),
        4 => instance.clone().prop_map(HistoryStep::FinishRead),
        6 => pair.clone().prop_map(|(from, to)| HistoryStep::Tell(from, to)),
        2 => pair.prop_map(|(from, to)| HistoryStep::Copy(from, to)),
        1 => instance.prop_map(HistoryStep::Compact),
        1 => Just(HistoryStep::Wait),
    ]
}

/// Store that remembers each of its revisions.
struct ModelStore {
    /// Entry written at each revision after the first one, or `None` for a removal.
    writes: Vec<(String, Option<relay::BackendEntry>)>,
}

impl ModelStore {
    fn revision(&self) -> u64 {
        START_REVISION + self.writes.len() as u64
    }

    /// Returns the list at a revision.
    fn list_at(&self, revision: u64) -> collections::BTreeMap<String, relay::BackendEntry> {
        let mut list = collections::BTreeMap::new();
        let count = usize::try_from(revision - START_REVISION).expect("the history is short");
        for (server, entry) in self.writes.iter().take(count) {
            match entry {
                Some(entry) => list.insert(server.clone(), entry.clone()),
                None => list.remove(server),
            };
        }
        list
    }

    /// Writes an entry. A server that drains goes on to say so; one that was removed starts again.
    fn write(&mut self, index: usize, drains: bool) {
        let name = format!("s{index}");
        let known = self.list_at(self.revision()).remove(&name);
        let mut entry = known.unwrap_or_else(|| {
            let mut entry = common::server(&name, "a");
            entry.born_millis = self.revision();
            entry
        });
        entry.leaving |= drains;
        self.writes.push((name, Some(entry)));
    }

    fn remove(&mut self, index: usize) {
        let name = format!("s{index}");
        if self.list_at(self.revision()).contains_key(&name) {
            self.writes.push((name, None));
        }
    }

    /// Answers a read of the changes after `base`, or of all entries.
    fn answer(&self, base: Option<u64>) -> relay::ViewUpdate {
        let Some(base) = base else {
            let config = common::config(1, vec![common::order_route()]);
            let entries: Vec<_> = self.list_at(self.revision()).into_values().collect();
            return common::full_view_update(self.revision(), &config, &entries);
        };
        let first = usize::try_from(base - START_REVISION).expect("the history is short");
        let changes = self.writes[first..].iter().zip(base + 1..);
        common::revised_changes(
            self.revision(),
            changes.map(|((server, entry), revision)| {
                let change = match entry {
                    Some(entry) => relay::ViewChange::Backend(entry.clone()),
                    None => removal(server),
                };
                (revision, change)
            }),
        )
    }
}

/// Instances that read a store and tell each other.
struct ReaderFleet {
    store: ModelStore,
    cores: Vec<relay::RelayCore>,
    reads: [Option<(u64, relay::ViewUpdate)>; INSTANCES],
    now: u64,
}

impl ReaderFleet {
    fn new() -> Self {
        let config = common::config(1, vec![common::order_route()]);
        let cores = (1..=INSTANCES as u8).map(|number| {
            let mut core = common::core_of(number);
            let view = common::full_view_update(START_REVISION, &config, &[]);
            core.apply_store_read(at(0), at(0), view);
            core
        });
        Self {
            store: ModelStore { writes: Vec::new() },
            cores: cores.collect(),
            reads: [const { None }; INSTANCES],
            now: 0,
        }
    }

    fn run(&mut self, step: HistoryStep) {
        self.now += 20;
        let now = at(self.now);
        match step {
            HistoryStep::Write(server) => self.store.write(server, false),
            HistoryStep::Drain(server) => self.store.write(server, true),
            HistoryStep::Remove(server) => self.store.remove(server),
            HistoryStep::SendRead(index) => {
                let base = self.cores[index].tracker().read_base();
                self.reads[index] = Some((self.now, self.store.answer(base)));
            }
            HistoryStep::FinishRead(index) => {
                if let Some((sent_at, answer)) = self.reads[index].take() {
                    self.cores[index].apply_store_read(now, at(sent_at), answer);
                }
            }
            HistoryStep::Tell(from, to) => {
                let update = self.cores[from].full_update(now);
                self.cores[to].apply_update(now, update);
            }
            HistoryStep::Copy(from, to) => {
                let view = self.cores[from].tracker().view().clone();
                self.cores[to].apply_peer_view(now, view, ms(5));
            }
            HistoryStep::Compact(index) => self.cores[index].record_compaction(),
            HistoryStep::Wait => self.now += 3_000,
        }
    }

    /// Returns the first instance whose list isn't that of the store at the position of its view.
    fn wrong_view(&self) -> Option<String> {
        self.cores.iter().find_map(|core| {
            let view = core.tracker().view();
            let names = |list: Vec<&relay::BackendEntry>| -> Vec<(String, bool)> {
                let entries = list.into_iter();
                entries
                    .map(|entry| (entry.server.to_string(), entry.leaving))
                    .collect()
            };
            let expected = self.store.list_at(view.position.revision);
            let (seen, stored) = (
                names(view.listed().collect()),
                names(expected.values().collect()),
            );
            (seen != stored).then(|| format!("{:?}: {seen:?}, not {stored:?}", view.position))
        })
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn view_holds_what_the_store_does_not_list_at_its_position(
        steps in prop::collection::vec(history_step(), 1..60),
    ) {
        let mut fleet = ReaderFleet::new();

        for step in steps {
            fleet.run(step);

            prop_assert_eq!(fleet.wrong_view(), None, "after {:?}", step);
        }
    }
}
