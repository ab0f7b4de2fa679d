//! Random fault histories over several call managers.
//!
//! They guard against a call that runs twice under one key, and against an outcome `not_run` of a
//! call that ran. Crashes, restarts, pauses, partitions and lost messages can cause either when
//! too few witnesses agree or when a witness answers without a complete record of its claims.

use std::collections;

use call::ClaimPolicy as _;
use common::fleet;
use proptest::{
    arbitrary::any,
    prop_oneof,
    strategy::{self, Strategy as _, ValueTree as _},
};

mod common;

/// Instances in every second history; all of them are witnesses of each key.
const FLEET_SIZE: u64 = 6;

/// Instances in the other histories, in which the witnesses differ between keys.
const LARGE_SIZE: u64 = 10;

/// Number of histories, unless the environment variable `CALL_HISTORIES` sets another one.
const HISTORIES: u32 = 10_000;

/// Threads that run histories.
const THREADS: usize = 4;

/// Step of a history.
#[derive(Clone, Debug)]
enum HistoryStep {
    /// A call arrives at an instance; keys above 100 contain their creation time.
    Call { id: u64, key: u128, has_age: bool },
    /// The caller of the request that is `back` requests before the last one disconnects.
    Cancel { back: u128 },
    /// An instance crashes.
    Crash(u64),
    /// A stopped instance starts.
    Start(u64),
    /// Instances crash and start again without their claims.
    Restart(collections::BTreeSet<u64>),
    /// An instance is paused for a number of milliseconds.
    Pause(u64, u64),
    /// These instances are partitioned from the others.
    Partition(collections::BTreeSet<u64>),
    /// An instance starts to drain.
    Drain(u64),
    /// A dead instance is removed from the platform's list.
    Unlist(u64),
    /// Milliseconds pass.
    Wait(u64),
}

fn any_step() -> impl strategy::Strategy<Value = HistoryStep> {
    let id = 1..=LARGE_SIZE;
    prop_oneof![
        8 => (id.clone(), 1_u128..4, any::<bool>()).prop_map(|(id, key, has_age)| {
            HistoryStep::Call {
                id,
                key: if has_age { key + 100 } else { key },
                has_age,
            }
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

fn run_history(fleet: &mut fleet::CallFleet, steps: &[HistoryStep]) {
    fleet.run(fleet::RETENTION_MS + 1_000);
    let mut request = 0;
    for step in steps {
        match step {
            HistoryStep::Call { id, key, has_age } => {
                request += 1;
                fleet.call(*id, request, *key, *has_age);
            }
            HistoryStep::Cancel { back } => fleet.cancel(request.saturating_sub(*back)),
            HistoryStep::Crash(id) => fleet.crash(*id),
            HistoryStep::Start(id) => fleet.start(*id),
            HistoryStep::Restart(ids) => ids.iter().for_each(|id| {
                fleet.crash(*id);
                fleet.start(*id);
            }),
            HistoryStep::Pause(id, millis) => fleet.pause(*id, *millis),
            HistoryStep::Partition(side) => fleet.set_partition(side.clone()),
            HistoryStep::Drain(id) => fleet.drain(*id),
            HistoryStep::Unlist(id) => fleet.unlist(*id),
            HistoryStep::Wait(millis) => fleet.run(*millis),
        }
    }
    fleet.run(20_000);
}

/// Returns a description of the first violated guarantee, if any.
fn violation(fleet: &fleet::CallFleet) -> Option<String> {
    for (key, runs) in &fleet.runs {
        let has_age = *key > 100;
        for pair in runs.windows(2) {
            let is_within_retention = pair[1].0 - pair[0].0 < fleet::RETENTION_MS;
            if has_age || is_within_retention {
                return Some(format!("key {key} ran twice: {runs:?}"));
            }
        }
    }
    for (request, call) in &fleet.calls {
        let empty = Vec::new();
        let runs = fleet.runs.get(&call.key).unwrap_or(&empty);
        if call.outcomes.len() > 1 {
            return Some(format!("request {request} was answered twice"));
        }
        let Some((at, outcome)) = call.outcomes.first() else {
            continue;
        };
        let has_run = runs.iter().any(|(_, runner)| runner == request);
        let key_has_run = runs
            .iter()
            .any(|(run, _)| run <= at && (call.has_age || at - run < fleet::RETENTION_MS));
        let call::CallOutcome::Failed { outcome, .. } = outcome else {
            if !has_run {
                return Some(format!("request {request} was answered but did not run"));
            }
            continue;
        };
        if *outcome == border::Outcome::NotRun && (has_run || key_has_run) {
            return Some(format!("request {request} ran but its outcome is not_run"));
        }
        if *outcome == border::Outcome::Ran && runs.is_empty() {
            return Some(format!(
                "request {request} did not run but its outcome is ran"
            ));
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
            .expect("the strategy must not reject any value");
        (seed, tree.current())
    })
}

/// Summary of the histories that were run.
#[derive(Debug, Default)]
struct HistorySummary {
    runs: usize,
    calls: usize,
    /// Description of the first violation, if any.
    violation: Option<String>,
}

/// Runs histories on several threads; each thread stops at its first violation.
fn run_all(count: u32, make: impl Fn(u64) -> fleet::CallFleet + Sync) -> HistorySummary {
    let histories: Vec<_> = histories(count).collect();
    let part_size = histories.len().div_ceil(THREADS);
    let parts: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = histories
            .chunks(part_size)
            .map(|part| scope.spawn(|| run_part(part, &make)))
            .collect();
        let results = threads.into_iter().map(std::thread::ScopedJoinHandle::join);
        results
            .map(|result| result.expect("a history thread panicked"))
            .collect()
    });
    parts
        .into_iter()
        .fold(HistorySummary::default(), |sum, part| HistorySummary {
            runs: sum.runs + part.runs,
            calls: sum.calls + part.calls,
            violation: sum.violation.or(part.violation),
        })
}

fn run_part(
    part: &[(u64, Vec<HistoryStep>)],
    make: &impl Fn(u64) -> fleet::CallFleet,
) -> HistorySummary {
    let mut summary = HistorySummary::default();
    for (seed, steps) in part {
        let mut fleet = make(*seed);
        run_history(&mut fleet, steps);
        summary.runs += fleet.runs.values().map(Vec::len).sum::<usize>();
        summary.calls += fleet.calls.len();
        summary.violation = violation(&fleet);
        if let Some(violation) = &mut summary.violation {
            *violation = format!("seed {seed}: {violation}; {steps:?}");
            break;
        }
    }
    summary
}

/// Policy with a fixed quorum that is too small.
struct FixedPolicy {
    acks: usize,
    confirmations: usize,
}

impl call::ClaimPolicy for FixedPolicy {
    fn quorum(&self, _witnesses: usize) -> call::ClaimQuorum {
        call::ClaimQuorum {
            acks: self.acks,
            confirmations: self.confirmations,
        }
    }
}

#[test]
fn no_history_runs_a_call_twice_or_reports_not_run_for_a_call_that_ran() {
    let count = std::env::var("CALL_HISTORIES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(HISTORIES);

    let HistorySummary {
        runs,
        calls,
        violation,
    } = run_all(count, |seed| {
        let size = if seed % 2 == 0 {
            FLEET_SIZE
        } else {
            LARGE_SIZE
        };
        fleet::CallFleet::new(size, seed, call::OverlapPolicy)
    });

    assert_eq!(violation, None);
    println!("{count} histories, {calls} calls, {runs} runs");
    assert!(
        runs * 10 > calls,
        "too few calls ran for the test to be meaningful"
    );
}

#[test]
fn histories_detect_a_claim_granted_by_a_single_witness() {
    let single_policy = || FixedPolicy {
        acks: 1,
        confirmations: 0,
    };

    let summary = run_all(HISTORIES, |seed| {
        fleet::CallFleet::new(FLEET_SIZE, seed, single_policy())
    });

    assert!(summary.violation.is_some());
}

#[test]
fn histories_detect_a_claim_granted_by_witnesses_without_records() {
    let acks = call::OverlapPolicy.quorum(FLEET_SIZE as usize).acks;

    let summary = run_all(HISTORIES, |seed| {
        fleet::CallFleet::new(
            FLEET_SIZE,
            seed,
            FixedPolicy {
                acks,
                confirmations: 0,
            },
        )
    });

    assert!(summary.violation.is_some());
}

/// Returns a history in which the entry instance is paused with a granted call until the witnesses
/// have dropped the claim.
fn pause_beyond_claim_lifetime() -> Vec<HistoryStep> {
    let call = |id| HistoryStep::Call {
        id,
        key: 1,
        has_age: false,
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

/// Returns the violation of a history under the first seed that causes one.
fn first_violation(steps: &[HistoryStep], checks_start: bool) -> Option<String> {
    (0..300).find_map(|seed| {
        let mut fleet = fleet::CallFleet::new(FLEET_SIZE, seed, call::OverlapPolicy);
        fleet.checks_start = checks_start;
        run_history(&mut fleet, steps);
        violation(&fleet).map(|violation| format!("seed {seed}: {violation}"))
    })
}

#[test]
fn start_check_prevents_a_second_run_after_a_pause_beyond_the_claim_lifetime() {
    let steps = pause_beyond_claim_lifetime();

    let with_check = first_violation(&steps, true);
    let without_check = first_violation(&steps, false);

    assert_eq!(with_check, None);
    assert!(
        without_check.is_some(),
        "the history must violate a guarantee without the check"
    );
}
