//! Equal events and seeds give equal actions.

use crate::common;

/// Seed of both runs.
const SEED: u64 = 7;

fn play(seed: u64) -> common::Fleet {
    let mut fleet = common::two_instances(seed);
    fleet.pass_millis(4_000);
    for request in 1..=20 {
        let core = usize::from(request % 2 == 0);
        fleet.give(core, control::Event::RequestArrived(common::quote(request)));
        fleet.pass_millis(3);
    }
    fleet.give(0, control::Event::CallerGone(ids::RequestId(3)));
    fleet.give(1, control::Event::DrainBegan);
    fleet.pass_millis(3_000);
    fleet
}

#[test]
fn two_runs_of_two_instances_give_equal_actions() {
    let first = play(SEED);

    let second = play(SEED);

    assert_eq!(first.log, second.log);
}

#[test]
fn requests_at_either_of_two_instances_are_answered() {
    let fleet = play(SEED);

    let answered = fleet
        .log
        .iter()
        .filter(|line| line.contains("FinishRequest") && line.contains("Answered"))
        .count();

    assert_eq!((answered, fleet.in_flight()), (20, 0));
}
