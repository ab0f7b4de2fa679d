//! Simulates overload of a fleet of many instances with many small engines, and compares the
//! outcomes with those of one instance that places all requests.
//!
//! Instances receive each other's state updates with a delay. Without the common queue order
//! several instances would assign the same freed capacity, and streams would be preempted.

mod common;

use common::{fleet, simulation};

/// Engines of a part of a large site, with memory for about eight streams each.
const SITE: simulation::SimulatedSite = simulation::SimulatedSite {
    prefills: 7,
    decodes: 12,
    kv_tokens: 56_917,
    speed: simulation::FAST_ENGINES,
    lengths: simulation::LONG_ANSWERS,
};

/// Number of instances that receive requests in turn.
const INSTANCES: u8 = 30;

/// Runs the same load with many instances and with one.
fn compare(
    seed: u64,
    calm_per_s: f64,
    burst: f64,
) -> (simulation::OutcomeCounts, simulation::OutcomeCounts) {
    let requests = simulation::generate_load(SITE.lengths, seed, calm_per_s, burst);
    let mut many = fleet::FleetPolicy::new(SITE, INSTANCES);
    let mut one = fleet::FleetPolicy::new(SITE, 1);
    let many = simulation::run(SITE, &mut many, &requests);
    let one = simulation::run(SITE, &mut one, &requests);
    (many, one)
}

#[test]
fn many_instances_serve_burst_nearly_as_well_as_one() {
    for seed in 1..=2 {
        let (many, one) = compare(seed, 20.0, 2.0);

        assert!(
            many.score() >= one.score() * 0.95,
            "seed {seed}: {many:?} against {one:?}"
        );
    }
}

#[test]
fn freed_capacity_is_assigned_once() {
    let (many, _) = compare(3, 26.0, 1.7);
    println!("{many:?}");

    let answered = many.on_time + many.late;
    assert!(many.preempted * 20 <= answered, "{many:?}");
}
