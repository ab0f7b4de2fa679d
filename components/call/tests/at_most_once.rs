//! Random histories of faults over several keepers: no call runs twice under a key, and whoever is
//! told that a call didn't run is told the truth.

use std::collections;

use call::ClaimPolicy as _;
use common::fleet;
use proptest::{
    arbitrary::any,
    prop_oneof,
    strategy::{self, Strategy as _, ValueTree as _},
};

mod common;

/// Instances in every other history, all of them witnesses of each key.
const FLEET_SIZE: u64 = 6;

/// Instances in the other histories, where keys have different witnesses.
const LARGE_SIZE: u64 = 10;

/// Histories that run unless `CALL_HISTORIES` names another number.
const HISTORIES: u32 = 10_000;

/// Threads that play histories.
const THREADS: usize = 4;

/// One thing that happens in a history.
#[derive(Clone, Debug)]
enum HistoryStep {
    Call { id: u64, key: u128, aged: bool },
    Cancel { back: u128 },
    Crash(u64),
    Start(u64),
    Restart(collections::BTreeSet<u64>),
    Pause(u64, u64),
    Partition(collections::BTreeSet<u64>),
    Drain(u64),
    Unlist(u64),
    Wait(u64),
}

fn any_step() -> impl strategy::Strategy<Value = HistoryStep> {
    let id = 1..=LARGE_SIZE;
    prop_oneof![
        8 => (id.clone(), 1_u128..4, any::<bool>()).prop_map(|(id, key, aged)| HistoryStep::Call {
            id,
            key: if aged { key + 100 } else { key },
            aged,
        }),
        1 => (0_u128..3).prop_map(|back| HistoryStep::Cancel { back }),
        2 => id.clone().prop_map(HistoryStep::Crash),
        3 => id.clone().prop_map(HistoryStep::Start),
        1 => proptest::collection::btree_set(id.clone(), 1..6).prop_map(HistoryStep::Restart),
        2 => (id.clone(), 1_u64..8_000).prop_map(|(id, millis)| HistoryStep::Pause(id, millis)),
        1 => proptest::collection::btree_set(id.clone(), 0..7).prop_map(HistoryStep::Partition),
        1 => id.clone().prop_map(HistoryStep::Drain),
        1 => id.prop_map(HistoryStep::Unlist),
        4 => (0_u64..30).prop_map(HistoryStep::Wait),
        3 => (30_u64..1_000).prop_map(HistoryStep::Wait),
        2 => (1_000_u64..12_000).prop_map(HistoryStep::Wait),
    ]
}

fn play(fleet: &mut fleet::CallFleet, steps: &[HistoryStep]) {
    fleet.run(fleet::RETENTION_MS + 1_000);
    let mut request = 0;
    for step in steps {
        match step {
            HistoryStep::Call { id, key, aged } => {
                request += 1;
                fleet.call(*id, request, *key, *aged);
            }
            HistoryStep::Cancel { back } => fleet.cancel(request.saturating_sub(*back)),
            HistoryStep::Crash(id) => fleet.crash(*id),
            HistoryStep::Start(id) => fleet.start(*id),
            HistoryStep::Restart(ids) => ids.iter().for_each(|id| {
                fleet.crash(*id);
                fleet.start(*id);
            }),
            HistoryStep::Pause(id, millis) => fleet.pause(*id, *millis),
            HistoryStep::Partition(side) => fleet.partition(side.clone()),
            HistoryStep::Drain(id) => fleet.drain(*id),
            HistoryStep::Unlist(id) => fleet.unlist(*id),
            HistoryStep::Wait(millis) => fleet.run(*millis),
        }
    }
    fleet.run(20_000);
}

/// Returns what a history has broken, if anything.
fn broken_promise(fleet: &fleet::CallFleet) -> Option<String> {
    for (key, runs) in &fleet.runs {
        let aged = *key > 100;
        for pair in runs.windows(2) {
            let again = pair[1].0 - pair[0].0 < fleet::RETENTION_MS;
            if aged || again {
                return Some(format!("key {key} ran twice: {runs:?}"));
            }
        }
    }
    for (request, call) in &fleet.calls {
        let empty = Vec::new();
        let runs = fleet.runs.get(&call.key).unwrap_or(&empty);
        if call.told.len() > 1 {
            return Some(format!("request {request} was answered twice"));
        }
        let Some((at, outcome)) = call.told.first() else {
            continue;
        };
        let own = runs.iter().any(|(_, runner)| runner == request);
        let before = runs
            .iter()
            .any(|(run, _)| run <= at && (call.aged || at - run < fleet::RETENTION_MS));
        let call::CallOutcome::Failed { outcome, .. } = outcome else {
            if !own {
                return Some(format!("request {request} has an answer but didn't run"));
            }
            continue;
        };
        if *outcome == border::Outcome::NotRun && (own || before) {
            return Some(format!("request {request} ran but was told it didn't"));
        }
        if *outcome == border::Outcome::Ran && runs.is_empty() {
            return Some(format!("request {request} was told it ran but didn't"));
        }
    }
    None
}

fn histories(count: u32) -> impl Iterator<Item = (u64, Vec<HistoryStep>)> {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let strategy = proptest::collection::vec(any_step(), 5..40);
    (0..u64::from(count)).map(move |seed| {
        let tree = strategy
            .new_tree(&mut runner)
            .expect("the strategy has no filters");
        (seed, tree.current())
    })
}

/// What came of playing histories.
#[derive(Debug, Default)]
struct PlayCount {
    runs: usize,
    calls: usize,
    /// The first broken promise, if any.
    broken: Option<String>,
}

/// Plays histories on a few threads until one breaks a promise.
fn play_all(count: u32, make: impl Fn(u64) -> fleet::CallFleet + Sync) -> PlayCount {
    let histories: Vec<_> = histories(count).collect();
    let part = histories.len().div_ceil(THREADS);
    let parts: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = histories
            .chunks(part)
            .map(|part| scope.spawn(|| play_part(part, &make)))
            .collect();
        let ends = threads.into_iter().map(std::thread::ScopedJoinHandle::join);
        ends.map(|end| end.expect("no history panics")).collect()
    });
    parts
        .into_iter()
        .fold(PlayCount::default(), |sum, part| PlayCount {
            runs: sum.runs + part.runs,
            calls: sum.calls + part.calls,
            broken: sum.broken.or(part.broken),
        })
}

fn play_part(
    part: &[(u64, Vec<HistoryStep>)],
    make: &impl Fn(u64) -> fleet::CallFleet,
) -> PlayCount {
    let mut count = PlayCount::default();
    for (seed, steps) in part {
        let mut fleet = make(*seed);
        play(&mut fleet, steps);
        count.runs += fleet.runs.values().map(Vec::len).sum::<usize>();
        count.calls += fleet.calls.len();
        count.broken = broken_promise(&fleet);
        if let Some(broken) = &mut count.broken {
            *broken = format!("seed {seed}: {broken}; {steps:?}");
            break;
        }
    }
    count
}

/// Grants without asking enough witnesses.
struct LaxPolicy {
    acks: usize,
    vouchers: usize,
}

impl call::ClaimPolicy for LaxPolicy {
    fn quorum(&self, _witnesses: usize) -> call::ClaimQuorum {
        call::ClaimQuorum {
            acks: self.acks,
            vouchers: self.vouchers,
        }
    }
}

#[test]
fn no_call_runs_twice_and_none_is_falsely_told_not_run_in_any_history() {
    let count = std::env::var("CALL_HISTORIES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(HISTORIES);

    let PlayCount {
        runs,
        calls,
        broken,
    } = play_all(count, |seed| {
        let size = if seed % 2 == 0 {
            FLEET_SIZE
        } else {
            LARGE_SIZE
        };
        fleet::CallFleet::new(size, seed, call::OverlapPolicy)
    });

    assert_eq!(broken, None);
    println!("{count} histories, {calls} calls, {runs} runs");
    assert!(runs * 10 > calls, "too few calls run to prove anything");
}

#[test]
fn histories_catch_a_grant_by_a_single_witness() {
    let lax = || LaxPolicy {
        acks: 1,
        vouchers: 0,
    };

    let count = play_all(HISTORIES, |seed| {
        fleet::CallFleet::new(FLEET_SIZE, seed, lax())
    });

    assert!(count.broken.is_some());
}

#[test]
fn histories_catch_a_grant_by_witnesses_that_have_forgotten() {
    let acks = call::OverlapPolicy.quorum(FLEET_SIZE as usize).acks;

    let count = play_all(HISTORIES, |seed| {
        fleet::CallFleet::new(FLEET_SIZE, seed, LaxPolicy { acks, vouchers: 0 })
    });

    assert!(count.broken.is_some());
}

/// Returns a history in which an entry is paused with a granted call until the claim is forgotten.
fn pause_beyond_all_memory() -> Vec<HistoryStep> {
    let call = |id| HistoryStep::Call {
        id,
        key: 1,
        aged: false,
    };
    vec![
        call(1),
        HistoryStep::Wait(4),
        HistoryStep::Pause(1, 100_000),
        HistoryStep::Wait(99_500),
        call(2),
        HistoryStep::Wait(1_000),
    ]
}

/// Returns what a history breaks under the first of some seeds that breaks anything.
fn breaks(steps: &[HistoryStep], checks_start: bool) -> Option<String> {
    (0..300).find_map(|seed| {
        let mut fleet = fleet::CallFleet::new(FLEET_SIZE, seed, call::OverlapPolicy);
        fleet.checks_start = checks_start;
        play(&mut fleet, steps);
        broken_promise(&fleet).map(|broken| format!("seed {seed}: {broken}"))
    })
}

#[test]
fn a_pause_beyond_all_memory_of_the_claim_is_caught_by_the_check_before_the_first_byte() {
    let steps = pause_beyond_all_memory();

    let with_check = breaks(&steps, true);
    let without_check = breaks(&steps, false);

    assert_eq!(with_check, None);
    assert!(
        without_check.is_some(),
        "the history must tell the two apart"
    );
}
