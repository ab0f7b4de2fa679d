//! Equal events and seeds result in equal actions, and all requests are answered.
//!
//! Guards against nondeterminism in the core, which would make simulated runs irreproducible.

use crate::common;

/// Seed of both runs.
const SEED: u64 = 7;

fn run(seed: u64) -> common::Fleet {
    let mut fleet = common::two_instances(seed);
    fleet.advance_millis(4_000);
    for request in 1..=20 {
        let core = usize::from(request % 2 == 0);
        fleet.handle(
            core,
            control::Event::RequestArrived(common::quote_request(request)),
        );
        fleet.advance_millis(3);
    }
    // All requests have been answered by now, so neither event cancels a request.
    fleet.handle(0, control::Event::CallerGone(ids::RequestId(3)));
    fleet.handle(1, control::Event::DrainStarted);
    fleet.advance_millis(3_000);
    fleet
}

#[test]
fn equal_seeds_result_in_equal_actions() {
    let first = run(SEED);

    let second = run(SEED);

    assert_eq!(first.log, second.log);
}

#[test]
fn requests_at_both_instances_are_answered() {
    let fleet = run(SEED);

    let answered = fleet
        .log
        .iter()
        .filter(|line| line.contains("FinishRequest") && line.contains("Answered"))
        .count();

    assert_eq!((answered, fleet.in_flight()), (20, 0));
}
