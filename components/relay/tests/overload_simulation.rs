//! Simulates calm and overloaded sites and checks the outcomes for callers.
//!
//! The same load runs under a baseline policy with a fixed number of streams per decode engine, in
//! order of arrival. Estimates of memory use that are too small show as preemptions, estimates that
//! are too large as refusals and late answers.

mod common;

use std::collections;

use common::{fleet, simulation};

/// Engines of the site.
const SITE: simulation::SimulatedSite = simulation::SimulatedSite {
    prefills: 3,
    decodes: 6,
    kv_tokens: common::KV_TOKENS,
    speed: simulation::FAST_ENGINES,
    lengths: simulation::LONG_ANSWERS,
};

/// Streams per decode engine under the baseline policy: as many as fit with answers of the largest
/// length.
const FIXED_STREAMS: usize = 8;

/// Baseline policy: a fixed number of streams per decode engine, in order of arrival.
#[derive(Default)]
struct FixedPolicy {
    waiting: collections::VecDeque<(usize, u64)>,
    decodes: collections::BTreeMap<usize, usize>,
    turn: usize,
}

impl FixedPolicy {
    fn select_engines(&mut self, index: usize) -> Option<simulation::EnginePair> {
        let count = |decode| {
            self.decodes
                .values()
                .filter(|used| **used == decode)
                .count()
        };
        let decode = (0..usize::from(SITE.decodes)).min_by_key(|decode| count(*decode))?;
        if count(decode) >= FIXED_STREAMS {
            return None;
        }
        self.decodes.insert(index, decode);
        self.turn += 1;
        Some(simulation::EnginePair {
            prefill: self.turn % usize::from(SITE.prefills),
            decode,
        })
    }
}

impl simulation::PlacementPolicy for FixedPolicy {
    fn request_arrived(
        &mut self,
        now: u64,
        index: usize,
        _: &simulation::SimulatedRequest,
    ) -> Option<simulation::EnginePair> {
        let engines = self
            .waiting
            .is_empty()
            .then(|| self.select_engines(index))?;
        if engines.is_none() {
            self.waiting.push_back((index, now));
        }
        engines
    }

    fn poll(&mut self, now: u64) -> (Vec<(usize, simulation::EnginePair)>, Vec<usize>) {
        let mut refused = Vec::new();
        while let Some((index, _)) = self
            .waiting
            .front()
            .filter(|(_, since)| now - since > 2_700)
        {
            refused.push(*index);
            self.waiting.pop_front();
        }
        let mut placed = Vec::new();
        while let Some((index, _)) = self.waiting.front().copied() {
            let Some(engines) = self.select_engines(index) else {
                break;
            };
            self.waiting.pop_front();
            placed.push((index, engines));
        }
        (placed, refused)
    }

    fn prefill_finished(&mut self, _: u64, _: usize) -> Option<usize> {
        None
    }

    fn tokens_generated(&mut self, _: u64, _: usize, _: u32) {}

    fn stream_ended(&mut self, _: u64, index: usize) {
        self.decodes.remove(&index);
    }
}

fn compare(
    seed: u64,
    calm_per_s: f64,
    burst: f64,
) -> (simulation::OutcomeCounts, simulation::OutcomeCounts, usize) {
    let requests = simulation::generate_load(SITE.lengths, seed, calm_per_s, burst);
    let core = simulation::run(SITE, &mut fleet::FleetPolicy::new(SITE, 1), &requests);
    let fixed = simulation::run(SITE, &mut FixedPolicy::default(), &requests);
    (core, fixed, requests.len())
}

#[test]
fn serves_normal_load_on_time() {
    for seed in 1..=5 {
        let (core, _, total) = compare(seed, 10.0, 1.0);

        let share = f64::from(core.on_time) / total as f64;
        assert!(share >= 0.99, "seed {seed}: {core:?} of {total}");
        assert_eq!(core.refused, 0, "seed {seed}");
    }
}

#[test]
fn serves_burst_of_twice_the_load_better_than_fixed_policy() {
    for seed in 1..=5 {
        let (core, fixed, total) = compare(seed, 10.5, 2.2);

        let share = f64::from(core.on_time) / total as f64;
        assert!(share >= 0.9, "seed {seed}: {core:?} of {total}");
        assert!(
            core.score() > fixed.score() * 1.05,
            "seed {seed}: {core:?} against {fixed:?} of {total}"
        );
    }
}

#[test]
fn outscores_fixed_policy_above_capacity() {
    for seed in 1..=5 {
        let (core, fixed, total) = compare(seed, 26.0, 1.3);

        assert!(
            core.score() > fixed.score() * 1.5,
            "seed {seed}: {core:?} against {fixed:?} of {total}"
        );
        let answered = core.on_time + core.late;
        assert!(
            core.preempted * 20 <= answered,
            "seed {seed}: {core:?} of {total}"
        );
    }
}

#[test]
fn refuses_most_unservable_requests_on_arrival() {
    for seed in 1..=5 {
        let requests = simulation::generate_load(SITE.lengths, seed, 26.0, 1.3);
        let mut policy = fleet::FleetPolicy::new(SITE, 6);

        let counts = simulation::run(SITE, &mut policy, &requests);

        assert!(
            policy.refused_on_arrival * 2 >= counts.refused,
            "seed {seed}: {} of {counts:?}",
            policy.refused_on_arrival
        );
    }
}

#[test]
fn does_not_starve_large_prompts_above_capacity() {
    let requests = simulation::generate_load(SITE.lengths, 3, 26.0, 1.3);
    let mut policy = fleet::FleetPolicy::new(SITE, 1);
    let mut served = collections::BTreeSet::new();
    let mut recorder = RecordingPolicy {
        policy: &mut policy,
        served: &mut served,
    };

    simulation::run(SITE, &mut recorder, &requests);

    let mut sizes: Vec<u32> = requests.iter().map(|request| request.prompt).collect();
    sizes.sort_unstable();
    let largest = sizes[sizes.len() * 9 / 10];
    let share = |large: bool| {
        let group = requests
            .iter()
            .enumerate()
            .filter(|(_, request)| (request.prompt >= largest) == large);
        let (all, served_count) = group.fold((0.0, 0.0), |(all, served_count), (index, _)| {
            let is_served = if served.contains(&index) { 1.0 } else { 0.0 };
            (all + 1.0, served_count + is_served)
        });
        served_count / all
    };
    assert!(
        share(true) >= share(false) / 2.0,
        "{} {}",
        share(true),
        share(false)
    );
}

/// Policy that records the served requests of another policy.
struct RecordingPolicy<'a> {
    policy: &'a mut dyn simulation::PlacementPolicy,
    served: &'a mut collections::BTreeSet<usize>,
}

impl simulation::PlacementPolicy for RecordingPolicy<'_> {
    fn request_arrived(
        &mut self,
        now: u64,
        index: usize,
        request: &simulation::SimulatedRequest,
    ) -> Option<simulation::EnginePair> {
        self.policy.request_arrived(now, index, request)
    }

    fn poll(&mut self, now: u64) -> (Vec<(usize, simulation::EnginePair)>, Vec<usize>) {
        self.policy.poll(now)
    }

    fn prefill_finished(&mut self, now: u64, index: usize) -> Option<usize> {
        self.policy.prefill_finished(now, index)
    }

    fn tokens_generated(&mut self, now: u64, index: usize, tokens: u32) {
        self.policy.tokens_generated(now, index, tokens);
    }

    fn stream_ended(&mut self, now: u64, index: usize) {
        self.served.insert(index);
        self.policy.stream_ended(now, index);
    }
}
