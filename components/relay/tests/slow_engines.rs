//! Simulates a site of slow engines with little memory, whose answers are short and differ much in
//! length, at about its capacity and in bursts.
//!
//! Each instance of a large fleet completes few streams. With the duration of prefills, the lengths
//! of answers and their deviations taken from a site of fast engines, instances place requests too
//! late for their first event to be on time, and leave a fifth of the memory unused.

mod common;

use common::{fleet, simulation};

/// A fifth of a large site.
const SITE: simulation::SimulatedSite = simulation::SimulatedSite {
    prefills: 5,
    decodes: 23,
    kv_tokens: 24_318,
    speed: simulation::SLOW_ENGINES,
    lengths: simulation::SHORT_ANSWERS,
};

/// Number of instances that receive requests in turn.
const INSTANCES: u8 = 40;

/// Runs a load; returns the outcomes and the number of requests.
fn run(seed: u64, calm_per_s: f64, burst: f64) -> (simulation::OutcomeCounts, usize) {
    let requests = simulation::generate_load(SITE.lengths, seed, calm_per_s, burst);
    let mut policy = fleet::FleetPolicy::new(SITE, INSTANCES);
    let counts = simulation::run(SITE, &mut policy, &requests);
    (counts, requests.len())
}

#[test]
fn serves_load_near_the_capacity_on_time() {
    for seed in 1..=2 {
        let (counts, total) = run(seed, 34.0, 1.0);

        let share = f64::from(counts.on_time) / total as f64;
        assert!(share >= 0.97, "seed {seed}: {counts:?} of {total}");
    }
}

#[test]
fn serves_most_of_a_burst_on_time() {
    for seed in 1..=2 {
        let (counts, total) = run(seed, 30.0, 1.7);

        let share = f64::from(counts.on_time) / total as f64;
        assert!(share >= 0.85, "seed {seed}: {counts:?} of {total}");
        let answered = counts.on_time + counts.late;
        assert!(
            counts.preempted * 25 <= answered,
            "seed {seed}: {counts:?} of {total}"
        );
    }
}
