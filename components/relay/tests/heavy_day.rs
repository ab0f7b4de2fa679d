//! Plays a heavy day over the placement of one instance and checks what callers get.
//!
//! The same load is played over a simpler policy, which gives each decode engine a fixed number of
//! streams first come, first served.

mod common;

use std::collections;

use common::{day, fleet};

/// Engines of the site.
const SITE: day::Site = day::Site {
    prefills: 3,
    decodes: 6,
    kv_tokens: common::KV_TOKENS,
};

/// Streams that the simpler policy gives a decode engine: those that fit with answers of any
/// length.
const FIXED_STREAMS: usize = 8;

/// A fixed number of streams an engine, first come, first served.
#[derive(Default)]
struct FixedPlacer {
    waiting: collections::VecDeque<(usize, u64)>,
    decodes: collections::BTreeMap<usize, usize>,
    turn: usize,
}

impl FixedPlacer {
    fn free_way(&mut self, index: usize) -> Option<day::Ways> {
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
        Some(day::Ways {
            prefill: self.turn % usize::from(SITE.prefills),
            decode,
        })
    }
}

impl day::Placer for FixedPlacer {
    fn arrives(&mut self, now: u64, index: usize, _: &day::Planned) -> Option<day::Ways> {
        let ways = self.waiting.is_empty().then(|| self.free_way(index))?;
        if ways.is_none() {
            self.waiting.push_back((index, now));
        }
        ways
    }

    fn due(&mut self, now: u64) -> (Vec<(usize, day::Ways)>, Vec<usize>) {
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
            let Some(ways) = self.free_way(index) else {
                break;
            };
            self.waiting.pop_front();
            placed.push((index, ways));
        }
        (placed, refused)
    }

    fn prompt_read(&mut self, _: u64, _: usize) -> Option<usize> {
        None
    }

    fn generated(&mut self, _: u64, _: usize, _: u32) {}

    fn ended(&mut self, _: u64, index: usize) {
        self.decodes.remove(&index);
    }
}

fn compare(seed: u64, calm_per_s: f64, burst: f64) -> (day::Tally, day::Tally, usize) {
    let requests = day::plan(seed, calm_per_s, burst);
    let core = day::play(SITE, &mut fleet::FleetPlacer::new(SITE, 1), &requests);
    let fixed = day::play(SITE, &mut FixedPlacer::default(), &requests);
    (core, fixed, requests.len())
}

#[test]
fn a_calm_day_is_served_on_time() {
    for seed in 1..=5 {
        let (core, _, total) = compare(seed, 10.0, 1.0);

        let share = f64::from(core.on_time) / total as f64;
        assert!(share >= 0.99, "seed {seed}: {core:?} of {total}");
        assert_eq!(core.refused, 0, "seed {seed}");
    }
}

#[test]
fn a_burst_of_twice_the_load_is_served_better_than_by_fixed_shares() {
    for seed in 1..=5 {
        let (core, fixed, total) = compare(seed, 10.5, 2.2);

        let share = f64::from(core.on_time) / total as f64;
        assert!(share >= 0.9, "seed {seed}: {core:?} of {total}");
        assert!(
            core.worth() > fixed.worth() * 1.05,
            "seed {seed}: {core:?} against {fixed:?} of {total}"
        );
    }
}

#[test]
fn a_day_above_capacity_keeps_what_can_be_on_time_on_time() {
    for seed in 1..=5 {
        let (core, fixed, total) = compare(seed, 26.0, 1.3);

        assert!(
            core.worth() > fixed.worth() * 1.5,
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
fn most_callers_that_can_not_be_served_are_told_so_on_arrival() {
    for seed in 1..=5 {
        let requests = day::plan(seed, 26.0, 1.3);
        let mut placer = fleet::FleetPlacer::new(SITE, 6);

        let tally = day::play(SITE, &mut placer, &requests);

        assert!(
            placer.refused_at_once * 2 >= tally.refused,
            "seed {seed}: {} of {tally:?}",
            placer.refused_at_once
        );
    }
}

#[test]
fn large_prompts_are_not_starved_above_capacity() {
    let requests = day::plan(3, 26.0, 1.3);
    let mut placer = fleet::FleetPlacer::new(SITE, 1);
    let mut served = collections::BTreeSet::new();
    let mut recorder = Recorder {
        placer: &mut placer,
        served: &mut served,
    };

    day::play(SITE, &mut recorder, &requests);

    let mut sizes: Vec<u32> = requests.iter().map(|request| request.prompt).collect();
    sizes.sort_unstable();
    let largest = sizes[sizes.len() * 9 / 10];
    let share = |large: bool| {
        let of = requests
            .iter()
            .enumerate()
            .filter(|(_, request)| (request.prompt >= largest) == large);
        let (all, got) = of.fold((0.0, 0.0), |(all, got), (index, _)| {
            let hit = if served.contains(&index) { 1.0 } else { 0.0 };
            (all + 1.0, got + hit)
        });
        got / all
    };
    assert!(
        share(true) >= share(false) / 2.0,
        "{} {}",
        share(true),
        share(false)
    );
}

/// Notes which requests were served.
struct Recorder<'a> {
    placer: &'a mut dyn day::Placer,
    served: &'a mut collections::BTreeSet<usize>,
}

impl day::Placer for Recorder<'_> {
    fn arrives(&mut self, now: u64, index: usize, request: &day::Planned) -> Option<day::Ways> {
        self.placer.arrives(now, index, request)
    }

    fn due(&mut self, now: u64) -> (Vec<(usize, day::Ways)>, Vec<usize>) {
        self.placer.due(now)
    }

    fn prompt_read(&mut self, now: u64, index: usize) -> Option<usize> {
        self.placer.prompt_read(now, index)
    }

    fn generated(&mut self, now: u64, index: usize, tokens: u32) {
        self.placer.generated(now, index, tokens);
    }

    fn ended(&mut self, now: u64, index: usize) {
        self.served.insert(index);
        self.placer.ended(now, index);
    }
}
