//! Plays heavy days over many instances that place at many small engines, and compares what callers
//! get with what one instance would give them that decides about all.

mod common;

use common::{day, fleet};

/// Engines of a part of a large site, each of which holds eight streams or so.
const SITE: day::Site = day::Site {
    prefills: 7,
    decodes: 12,
    kv_tokens: 56_917,
};

/// Instances among which callers are spread.
const INSTANCES: u8 = 30;

/// Plays a day over many instances, and over one.
fn compare(seed: u64, calm_per_s: f64, burst: f64) -> (day::Tally, day::Tally) {
    let requests = day::plan(seed, calm_per_s, burst);
    let mut many = fleet::FleetPlacer::new(SITE, INSTANCES);
    let mut one = fleet::FleetPlacer::new(SITE, 1);
    let many = day::play(SITE, &mut many, &requests);
    let one = day::play(SITE, &mut one, &requests);
    (many, one)
}

#[test]
fn many_instances_serve_a_burst_nearly_as_well_as_one() {
    for seed in 1..=2 {
        let (many, one) = compare(seed, 20.0, 2.0);

        assert!(
            many.worth() >= one.worth() * 0.95,
            "seed {seed}: {many:?} against {one:?}"
        );
    }
}

#[test]
fn a_place_that_becomes_free_is_taken_once() {
    let (many, _) = compare(3, 26.0, 1.7);
    println!("{many:?}");

    let answered = many.on_time + many.late;
    assert!(many.preempted * 20 <= answered, "{many:?}");
}
