//! Keyed calls over several keepers: each failure of the promises, caused on purpose.

use std::collections;

use common::fleet;

mod common;

/// Instances in these tests.
const SIZE: u64 = 6;

/// Key of the tests' calls; keys above a hundred are of known age.
const KEY: u128 = 7;

/// Returns instances that have been up for longer than the retention.
fn settled_fleet(seed: u64) -> fleet::CallFleet {
    let mut fleet = fleet::CallFleet::new(SIZE, seed, call::OverlapPolicy);
    fleet.run(fleet::RETENTION_MS + 1_000);
    fleet
}

fn runs(fleet: &fleet::CallFleet) -> usize {
    fleet.runs.get(&KEY).map_or(0, Vec::len)
}

/// Returns what a request was told, when it has no answer of a server.
fn told(fleet: &fleet::CallFleet, request: u128) -> Option<(border::Outcome, call::CallFailure)> {
    match fleet.calls[&request].told.first()?.1 {
        call::CallOutcome::Failed {
            outcome, failure, ..
        } => Some((outcome, failure)),
        call::CallOutcome::Answered(_) => None,
    }
}

fn is_answered(fleet: &fleet::CallFleet, request: u128) -> bool {
    matches!(
        fleet.calls[&request].told.first(),
        Some((_, call::CallOutcome::Answered(_)))
    )
}

/// Runs a scene under many seeds, which differ in delays, losses and answers of the service.
fn under_seeds(scene: impl Fn(u64)) {
    (0..200).for_each(scene);
}

/// Returns under how many of the seeds a scene gives true.
fn count_seeds(scene: impl Fn(u64) -> bool) -> usize {
    (0..200).filter(|seed| scene(*seed)).count()
}

#[test]
fn a_repeat_through_another_instance_is_told_that_the_call_ran() {
    let told_ran = count_seeds(|seed| {
        let mut fleet = settled_fleet(seed);
        fleet.call(1, 1, KEY, false);
        fleet.run(3_000);

        fleet.call(2, 2, KEY, false);
        fleet.run(3_000);

        if is_answered(&fleet, 1) {
            assert_eq!(runs(&fleet), 1);
            assert_ne!(
                told(&fleet, 2).map(|told| told.0),
                Some(border::Outcome::NotRun)
            );
        }
        told(&fleet, 2) == Some((border::Outcome::Ran, call::CallFailure::KeyUsed))
    });

    assert!(told_ran > 100);
}

#[test]
fn a_repeat_after_a_call_that_provably_did_not_run_may_run() {
    let mut keeper = common::keeper([common::server("s1")]);
    let later = 400_000;
    claim_at_itself(&mut keeper, later, common::keyed(1, KEY));
    let mut ends = Vec::new();
    for attempt in 0..4 {
        let (request, attempt) = (ids::RequestId(1), ids::AttemptNumber(attempt));
        let input = call::Input::AttemptEnded(request, attempt, common::not_sent());
        ends = give_and_carry(&mut keeper, later, input);
    }

    let outputs = claim_at_itself(&mut keeper, later, common::keyed(2, KEY));

    assert_eq!(common::failures(&ends)[0].1, border::Outcome::NotRun);
    assert_eq!(common::attempts(&outputs)[0].0, 2);
}

#[test]
fn a_cancelled_call_runs_at_most_once() {
    under_seeds(|seed| {
        let mut fleet = settled_fleet(seed);
        fleet.call(1, 1, KEY, false);
        fleet.run(seed % 40);
        fleet.cancel(1);

        fleet.call(2, 2, KEY, false);
        fleet.run(3_000);

        assert!(runs(&fleet) <= 1);
    });
}

#[test]
fn a_call_whose_entry_died_runs_at_most_once() {
    under_seeds(|seed| {
        let mut fleet = settled_fleet(seed);
        fleet.call(1, 1, KEY, false);
        fleet.run(seed % 40);
        fleet.crash(1);

        fleet.call(2, 2, KEY, false);
        fleet.run(3_000);
        fleet.start(1);
        fleet.run(10_000);
        fleet.call(1, 3, KEY, false);
        fleet.run(3_000);

        assert!(runs(&fleet) <= 1);
    });
}

#[test]
fn witnesses_that_restart_with_an_empty_memory_do_not_let_a_call_run_again() {
    under_seeds(|seed| {
        let mut fleet = settled_fleet(seed);
        fleet.call(1, 1, KEY, false);
        fleet.run(400);
        for id in 1..=SIZE {
            if id % 3 != seed % 3 {
                fleet.crash(id);
                fleet.start(id);
            }
        }

        fleet.call(2, 2, KEY, false);
        fleet.run(3_000);

        assert!(runs(&fleet) <= 1);
    });
}

#[test]
fn a_paused_entry_that_wakes_late_does_not_run_the_call_again() {
    under_seeds(|seed| {
        let mut fleet = settled_fleet(seed);
        fleet.call(1, 1, KEY, false);
        fleet.run(seed % 30);
        fleet.pause(1, 3_000 + seed * 500);

        fleet.run(2_000);
        fleet.call(2, 2, KEY, false);
        fleet.run(200_000);

        assert!(runs(&fleet) <= 1);
    });
}

#[test]
fn the_sides_of_a_partition_do_not_both_run_a_call() {
    under_seeds(|seed| {
        let mut fleet = settled_fleet(seed);
        let side = collections::BTreeSet::from_iter(1..=(1 + seed % 5));
        fleet.partition(side);

        fleet.call(1, 1, KEY, false);
        fleet.call(6, 2, KEY, false);
        fleet.run(3_000);

        assert!(runs(&fleet) <= 1);
        assert_ne!(
            told(&fleet, 1).map(|told| told.0),
            Some(border::Outcome::NotRun)
        );
    });
}

#[test]
fn the_larger_side_of_a_partition_goes_on() {
    let answered = count_seeds(|seed| {
        let mut fleet = settled_fleet(seed);
        fleet.partition(collections::BTreeSet::from([5, 6]));

        fleet.call(1, 1, KEY, false);
        fleet.run(3_000);

        is_answered(&fleet, 1)
    });

    assert!(answered > 100);
}

#[test]
fn a_drained_witness_hands_its_claims_over() {
    under_seeds(|seed| {
        let mut fleet = settled_fleet(seed);
        fleet.call(1, 1, KEY, false);
        fleet.run(400);
        for id in 2..=SIZE {
            fleet.drain(id);
            fleet.run(200);
            fleet.crash(id);
            fleet.start(id);
            fleet.run(4_500);
        }

        fleet.call(2, 2, KEY, false);
        fleet.run(1_000);

        assert!(runs(&fleet) <= 1);
    });
}

#[test]
fn a_new_witness_does_not_vouch_by_what_too_few_older_ones_remember() {
    let ran = count_seeds(|seed| {
        let mut fleet = settled_fleet(seed);
        fleet.partition(collections::BTreeSet::from([5, 6]));
        fleet.call(1, 1, KEY, false);
        fleet.run(400);
        for id in [1, 2] {
            fleet.crash(id);
            fleet.start(id);
        }
        fleet.partition(collections::BTreeSet::from([3, 4]));
        fleet.run(8_000);

        fleet.call(5, 2, KEY, false);
        fleet.run(3_000);

        assert!(runs(&fleet) <= 1, "seed {seed}");
        runs(&fleet) == 1
    });

    assert!(ran > 100);
}

/// Claims a key, and before two slow witnesses hold it, restarts three that hold it already.
///
/// Where recalls went out at once, the slow witnesses could answer them before they hold the key;
/// the last seed showed a double run then.
#[test]
fn a_new_witness_recalls_only_what_no_open_claim_can_add_to() {
    for seed in (0..500).chain([11_327]) {
        let mut fleet = fleet::CallFleet::new(8, seed, call::OverlapPolicy);
        fleet.run(fleet::RETENTION_MS + 1_000);
        [5, 6].iter().for_each(|id| fleet.pause(*id, 100));
        fleet.partition(collections::BTreeSet::from([7, 8]));
        fleet.call(1, 1, KEY, false);
        fleet.run(3);
        for id in [2, 3, 4] {
            fleet.crash(id);
            fleet.start(id);
        }
        fleet.run(600);
        fleet.partition(collections::BTreeSet::new());
        fleet.run(8_000);

        fleet.call(7, 2, KEY, false);
        fleet.run(3_000);

        assert!(runs(&fleet) <= 1, "seed {seed}");
    }
}

#[test]
fn new_calls_run_during_a_rolling_restart() {
    let answered = count_seeds(|seed| {
        let mut fleet = settled_fleet(seed);
        for id in 1..=SIZE {
            fleet.drain(id);
            fleet.run(200);
            fleet.crash(id);
            fleet.start(id);
            fleet.run(6_000);
        }

        fleet.call(3, 1, KEY, false);
        fleet.run(3_000);

        is_answered(&fleet, 1)
    });

    assert!(answered > 100, "{answered} of 200 calls were answered");
}

#[test]
fn a_key_of_known_age_works_soon_after_all_instances_have_started() {
    let answered = count_seeds(|seed| {
        let mut fleet = fleet::CallFleet::new(SIZE, seed, call::OverlapPolicy);
        fleet.run(6_000);

        fleet.call(1, 1, KEY + 100, true);
        fleet.run(3_000);

        is_answered(&fleet, 1)
    });

    assert!(answered > 100);
}

#[test]
fn a_key_that_tells_no_age_is_uncertain_until_the_retention_has_passed() {
    under_seeds(|seed| {
        let mut fleet = fleet::CallFleet::new(SIZE, seed, call::OverlapPolicy);
        fleet.run(6_000);

        fleet.call(1, 1, KEY, false);
        fleet.run(3_000);

        assert_eq!(runs(&fleet), 0);
        let expected = (border::Outcome::Unknown, call::CallFailure::KeyUncertain);
        assert_eq!(told(&fleet, 1), Some(expected));
    });
}

#[test]
fn a_key_of_known_age_never_runs_again_however_late_its_repeat() {
    under_seeds(|seed| {
        let mut fleet = settled_fleet(seed);
        fleet.call(1, 1, KEY + 100, true);
        fleet.run(fleet::RETENTION_MS * 10);

        fleet.call(2, 2, KEY + 100, true);
        fleet.run(3_000);

        assert_eq!(
            told(&fleet, 2).map(|told| told.0),
            Some(border::Outcome::Unknown)
        );
    });
}

#[test]
fn a_lost_call_on_a_silent_connection_ends_as_unknown_and_so_does_its_repeat() {
    let mut keeper = common::keeper([common::server("s1")]);
    let later = 400_000;
    claim_at_itself(&mut keeper, later, common::keyed(1, KEY));
    let end = call::Input::AttemptEnded(ids::RequestId(1), ids::AttemptNumber(0), common::lost());

    let first = give_and_carry(&mut keeper, later, end);
    let repeat = claim_at_itself(&mut keeper, later, common::keyed(2, KEY));

    assert_eq!(common::failures(&first)[0].1, border::Outcome::Unknown);
    assert_eq!(common::failures(&repeat)[0].1, border::Outcome::Unknown);
    assert_eq!(common::attempts(&repeat), []);
}

#[test]
fn a_keyed_call_refused_for_load_is_not_told_that_it_did_not_run() {
    let config = call::CallConfig::builder()
        .own(ids::InstanceId(1))
        .seed(1)
        .queue_limit(1)
        .build();
    let mut keeper = call::CallManager::with_config(config);
    let narrow = note::ServerEntry {
        concurrency: 1,
        ..common::server("s1")
    };
    let state = common::state([narrow]);
    common::give(&mut keeper, 0, call::Input::State(state));
    let view = common::view(1, [1]);
    common::give(&mut keeper, 0, call::Input::View(view.into()));
    common::give(&mut keeper, 1, call::Input::Arrived(common::lookup(1)));
    common::give(&mut keeper, 1, call::Input::Arrived(common::lookup(2)));

    let outputs = common::give(&mut keeper, 1, call::Input::Arrived(common::keyed(3, KEY)));

    let [(3, border::Outcome::Unknown, call::CallFailure::QueueFull, Some(_))] =
        common::failures(&outputs)[..]
    else {
        panic!("{outputs:?}");
    };
}

#[test]
fn a_keyed_call_under_a_stale_or_partitioned_view_is_refused_at_once() {
    for (fresh, partitioned) in [(false, false), (true, true)] {
        let mut keeper = common::keeper([common::server("s1")]);
        let mut view = common::view(1, [1, 2, 3]);
        view.fresh = fresh;
        view.partitioned = partitioned;
        common::give(&mut keeper, 1, call::Input::View(view.into()));

        let outputs = common::give(&mut keeper, 2, call::Input::Arrived(common::keyed(1, KEY)));

        let [(1, border::Outcome::Unknown, call::CallFailure::ViewStale, Some(_))] =
            common::failures(&outputs)[..]
        else {
            panic!("{outputs:?}");
        };
        assert_eq!(outputs.len(), 1);
    }
}

#[test]
fn a_key_used_for_another_call_is_refused() {
    let mut keeper = common::keeper([common::server("s1")]);
    let later = 400_000;
    let first = common::keyed(1, KEY);
    let other = call::CallSpec {
        fingerprint: 8,
        ..common::keyed(2, KEY)
    };
    claim_at_itself(&mut keeper, later, first);

    let outputs = claim_at_itself(&mut keeper, later, other);

    let [(2, border::Outcome::Unknown, call::CallFailure::KeyMismatch, None)] =
        common::failures(&outputs)[..]
    else {
        panic!("{outputs:?}");
    };
}

#[test]
fn a_witness_with_a_full_memory_refuses_new_keys_and_forgets_none() {
    let config = call::CallConfig::builder()
        .own(ids::InstanceId(1))
        .seed(1)
        .claim_limit(2)
        .build();
    let mut keeper = call::CallManager::with_config(config);
    let view = common::view(1, [1]);
    common::give(&mut keeper, 0, call::Input::View(view.into()));
    let state = common::state([common::server("s1")]);
    common::give(&mut keeper, 0, call::Input::State(state));
    claim_at_itself(&mut keeper, 400_000, common::keyed(1, 1));
    claim_at_itself(&mut keeper, 400_000, common::keyed(2, 2));

    let third = claim_at_itself(&mut keeper, 400_000, common::keyed(3, 3));
    let repeat = claim_at_itself(&mut keeper, 400_000, common::keyed(4, 1));

    assert_eq!(
        common::failures(&third)[0].2,
        call::CallFailure::KeyUncertain
    );
    assert_eq!(common::failures(&repeat)[0].2, call::CallFailure::KeyInUse);
}

/// Gives a call to a keeper that is the only witness and carries its messages to itself.
fn claim_at_itself(
    keeper: &mut call::CallManager,
    millis: u64,
    spec: call::CallSpec,
) -> Vec<call::Output> {
    give_and_carry(keeper, millis, call::Input::Arrived(spec))
}

/// Gives an input to a keeper that is the only witness and carries its messages to itself.
fn give_and_carry(
    keeper: &mut call::CallManager,
    millis: u64,
    input: call::Input,
) -> Vec<call::Output> {
    let mut outputs = common::give(keeper, millis, input);
    let mut done = Vec::new();
    while let Some(output) = outputs.pop() {
        match output {
            call::Output::Send(to, message) => {
                let input = call::Input::Message(to, message);
                outputs.extend(common::give(keeper, millis, input));
            }
            output => done.push(output),
        }
    }
    done
}
