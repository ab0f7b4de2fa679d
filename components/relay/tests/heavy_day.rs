//! Plays a heavy day over the placement and checks what callers get.
//!
//! Engines are modelled by their reading rate, pace and memory. The same load is played over a
//! simpler policy, which gives each decode engine a fixed number of streams first come, first
//! served.

mod common;

use std::collections;

use common::at;
use rand::{RngExt as _, SeedableRng as _};

/// Step of the play, in milliseconds.
const STEP_MILLIS: u64 = 5;

/// Tokens that a prefill engine reads in a millisecond.
const READ_RATE: f64 = 55.0;

/// Tokens that a stream generates in a millisecond.
const PACE: f64 = 1.05;

/// Tokens in one event.
const EVENT_TOKENS: u32 = 50;

/// Largest answer, in tokens.
const LIMIT: u32 = 6_500;

/// Prefill and decode engines of the day.
const ENGINES: (u8, u8) = (3, 6);

/// Streams that the simpler policy gives a decode engine: those that fit with answers of any
/// length.
const FIXED_STREAMS: usize = 8;

/// One request of the day.
#[derive(Clone, Copy, Debug)]
struct Planned {
    arrival: u64,
    prompt: u32,
    output: u32,
    hint: u32,
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Tally {
    on_time: u32,
    late: u32,
    refused: u32,
    /// Streams that were thrown out of an engine's memory.
    preempted: u32,
}

impl Tally {
    fn worth(self) -> f64 {
        f64::from(self.on_time) + 0.2 * f64::from(self.late)
    }
}

/// Draws from a distribution with a long tail around a mean.
fn draw(random: &mut rand_chacha::ChaCha8Rng, mean: f64, spread: f64, most: f64) -> u32 {
    let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
    let value = mean * (normal * spread - spread * spread / 2.0).exp();
    value.clamp(1.0, most) as u32
}

/// Returns a day of 30 s with a burst in its middle.
fn plan(seed: u64, calm_per_s: f64, burst: f64) -> Vec<Planned> {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for step in 0..30_000 / STEP_MILLIS {
        let millis = step * STEP_MILLIS;
        let bursts = (10_000..15_000).contains(&millis);
        let rate = calm_per_s * if bursts { burst } else { 1.0 };
        if random.random::<f64>() >= rate * STEP_MILLIS as f64 / 1_000.0 {
            continue;
        }
        let output = draw(&mut random, 3_500.0, 0.5, f64::from(LIMIT));
        requests.push(Planned {
            arrival: millis,
            prompt: draw(&mut random, 5_000.0, 0.5, 11_000.0),
            output,
            hint: draw(&mut random, f64::from(output), 0.5, f64::from(LIMIT)),
        });
    }
    requests
}

/// Where a placed request runs.
#[derive(Clone, Copy, Debug)]
struct Ways {
    prefill: usize,
    decode: usize,
}

/// A policy that places requests.
trait Placer {
    /// Takes a request; its place may follow by `due`.
    fn arrives(&mut self, now: u64, index: usize, request: &Planned) -> Option<Ways>;
    /// Returns requests that are placed now, and those that are refused.
    fn due(&mut self, now: u64) -> (Vec<(usize, Ways)>, Vec<usize>);
    fn prompt_read(&mut self, now: u64, index: usize);
    fn generated(&mut self, now: u64, index: usize, tokens: u32);
    fn ended(&mut self, now: u64, index: usize);
}

/// The relay core as a policy.
struct CorePlacer {
    core: relay::RelayCore,
    keys: collections::BTreeMap<usize, relay::StreamKey>,
    tickets: collections::BTreeMap<relay::WaitTicket, usize>,
    refused: Vec<usize>,
}

impl CorePlacer {
    fn new() -> Self {
        let prefills = (0..ENGINES.0).map(|number| ("p", number, relay::EngineStage::Prefill));
        let decodes = (0..ENGINES.1).map(|number| ("d", number, relay::EngineStage::Decode));
        let entries: Vec<_> = prefills
            .chain(decodes)
            .map(|(name, number, stage)| common::engine(&format!("{name}{number}"), stage, "a"))
            .collect();
        Self {
            core: common::core_with(&entries),
            keys: collections::BTreeMap::new(),
            tickets: collections::BTreeMap::new(),
            refused: Vec::new(),
        }
    }

    fn take(&mut self, index: usize, answer: relay::PlaceAnswer) -> Option<Ways> {
        match answer {
            relay::PlaceAnswer::Placed(place) => {
                self.keys.insert(index, place.key);
                let prefill = place.prefill.as_ref().expect("prefill engines are there");
                Some(Ways {
                    prefill: number_of(&prefill.1),
                    decode: number_of(&place.decode.1),
                })
            }
            relay::PlaceAnswer::Waiting(ticket) => {
                self.tickets.insert(ticket, index);
                None
            }
            relay::PlaceAnswer::Refused(refusal) => {
                assert!(!refusal.retry_after.is_zero());
                self.refused.push(index);
                None
            }
        }
    }
}

fn number_of(entry: &relay::BackendEntry) -> usize {
    entry.server.as_str()[1..]
        .parse()
        .expect("engines are numbered")
}

impl Placer for CorePlacer {
    fn arrives(&mut self, now: u64, index: usize, request: &Planned) -> Option<Ways> {
        let mut ask = common::ask(at(now), request.prompt);
        ask.output_tokens = LIMIT;
        ask.expected_tokens = Some(request.hint);
        let answer = self.core.place(at(now), ask);
        self.take(index, answer)
    }

    fn due(&mut self, now: u64) -> (Vec<(usize, Ways)>, Vec<usize>) {
        let mut placed = Vec::new();
        for (ticket, answer) in self.core.grants(at(now)) {
            let index = self.tickets.remove(&ticket).expect("it waited");
            placed.extend(self.take(index, answer).map(|ways| (index, ways)));
        }
        (placed, std::mem::take(&mut self.refused))
    }

    fn prompt_read(&mut self, now: u64, index: usize) {
        let outcome = relay::BackendOutcome::Succeeded;
        self.core.prefill_ended(at(now), self.keys[&index], outcome);
    }

    fn generated(&mut self, now: u64, index: usize, tokens: u32) {
        self.core.progressed(at(now), self.keys[&index], tokens);
    }

    fn ended(&mut self, now: u64, index: usize) {
        let end = common::ended(relay::BackendOutcome::Succeeded);
        self.core.release(at(now), self.keys[&index], end);
    }
}

/// A fixed number of streams an engine, first come, first served.
#[derive(Default)]
struct FixedPlacer {
    waiting: collections::VecDeque<(usize, u64)>,
    decodes: collections::BTreeMap<usize, usize>,
    turn: usize,
}

impl FixedPlacer {
    fn free_way(&mut self, index: usize) -> Option<Ways> {
        let count = |decode| {
            self.decodes
                .values()
                .filter(|used| **used == decode)
                .count()
        };
        let decode = (0..usize::from(ENGINES.1)).min_by_key(|decode| count(*decode))?;
        if count(decode) >= FIXED_STREAMS {
            return None;
        }
        self.decodes.insert(index, decode);
        self.turn += 1;
        Some(Ways {
            prefill: self.turn % usize::from(ENGINES.0),
            decode,
        })
    }
}

impl Placer for FixedPlacer {
    fn arrives(&mut self, now: u64, index: usize, _: &Planned) -> Option<Ways> {
        let ways = self.waiting.is_empty().then(|| self.free_way(index))?;
        if ways.is_none() {
            self.waiting.push_back((index, now));
        }
        ways
    }

    fn due(&mut self, now: u64) -> (Vec<(usize, Ways)>, Vec<usize>) {
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

    fn prompt_read(&mut self, _: u64, _: usize) {}

    fn generated(&mut self, _: u64, _: usize, _: u32) {}

    fn ended(&mut self, _: u64, index: usize) {
        self.decodes.remove(&index);
    }
}

/// A request under way.
#[derive(Clone, Copy, Debug)]
struct Running {
    ways: Ways,
    read_at: u64,
    has_read: bool,
    first_token: Option<u64>,
    generated: f64,
    told: u32,
    preempted: bool,
}

/// Plays a day; callers that are refused don't come back.
fn play(placer: &mut dyn Placer, requests: &[Planned]) -> Tally {
    let mut tally = Tally::default();
    let mut prefill_free = vec![0_u64; usize::from(ENGINES.0)];
    let mut running: collections::BTreeMap<usize, Running> = collections::BTreeMap::new();
    let mut next = 0;
    for step in 0..50_000 / STEP_MILLIS {
        let now = step * STEP_MILLIS;
        let mut placed = Vec::new();
        while let Some(request) = requests.get(next).filter(|request| request.arrival <= now) {
            placed.extend(placer.arrives(now, next, request).map(|ways| (next, ways)));
            next += 1;
        }
        let (late_placed, refused) = placer.due(now);
        tally.refused += u32::try_from(refused.len()).expect("a day is short");
        for (index, ways) in placed.into_iter().chain(late_placed) {
            let reading = (f64::from(requests[index].prompt) / READ_RATE) as u64;
            let free = &mut prefill_free[ways.prefill];
            *free = (*free).max(now) + reading;
            running.insert(
                index,
                Running {
                    ways,
                    read_at: *free,
                    has_read: false,
                    first_token: None,
                    generated: 0.0,
                    told: 0,
                    preempted: false,
                },
            );
        }
        advance(placer, requests, &mut running, now, &mut tally);
        preempt(requests, &mut running, now, &mut tally);
    }
    assert!(running.is_empty());
    tally
}

/// Lets each stream generate for one step.
fn advance(
    placer: &mut dyn Placer,
    requests: &[Planned],
    running: &mut collections::BTreeMap<usize, Running>,
    now: u64,
    tally: &mut Tally,
) {
    let mut ended = Vec::new();
    for (index, stream) in running.iter_mut() {
        if now < stream.read_at {
            continue;
        }
        if !stream.has_read {
            stream.has_read = true;
            placer.prompt_read(now, *index);
        }
        stream.first_token.get_or_insert(now);
        stream.generated += PACE * STEP_MILLIS as f64;
        while stream.generated >= f64::from(stream.told + EVENT_TOKENS) {
            stream.told += EVENT_TOKENS;
            placer.generated(now, *index, EVENT_TOKENS);
        }
        if stream.generated >= f64::from(requests[*index].output) {
            ended.push(*index);
        }
    }
    for index in ended {
        placer.ended(now, index);
        let Some(stream) = running.remove(&index) else {
            continue;
        };
        let first = stream.first_token.unwrap_or(u64::MAX);
        if first - requests[index].arrival <= 900 && !stream.preempted {
            tally.on_time += 1;
        } else {
            tally.late += 1;
        }
    }
}

/// Throws the newest streams out of engines whose memory has run out; they are read again.
fn preempt(
    requests: &[Planned],
    running: &mut collections::BTreeMap<usize, Running>,
    now: u64,
    tally: &mut Tally,
) {
    for engine in 0..usize::from(ENGINES.1) {
        let held = |running: &collections::BTreeMap<usize, Running>| -> u32 {
            running
                .iter()
                .filter(|(_, stream)| stream.ways.decode == engine && stream.read_at <= now)
                .map(|(index, stream)| requests[*index].prompt + stream.generated as u32)
                .sum()
        };
        while held(running) > common::KV_TOKENS {
            let newest = running
                .iter_mut()
                .filter(|(_, stream)| stream.ways.decode == engine && stream.read_at <= now)
                .max_by_key(|(_, stream)| stream.first_token);
            let Some((index, stream)) = newest else { break };
            let again = f64::from(requests[*index].prompt) + stream.generated;
            stream.read_at = now + (again / READ_RATE * 2.0) as u64 + 300;
            stream.preempted = true;
            tally.preempted += 1;
        }
    }
}

fn compare(seed: u64, calm_per_s: f64, burst: f64) -> (Tally, Tally, usize) {
    let requests = plan(seed, calm_per_s, burst);
    let core = play(&mut CorePlacer::new(), &requests);
    let fixed = play(&mut FixedPlacer::default(), &requests);
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
fn large_prompts_are_not_starved_above_capacity() {
    let requests = plan(3, 26.0, 1.3);
    let mut placer = CorePlacer::new();
    let mut served = collections::BTreeSet::new();
    let mut recorder = Recorder {
        placer: &mut placer,
        served: &mut served,
    };

    play(&mut recorder, &requests);

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
    placer: &'a mut dyn Placer,
    served: &'a mut collections::BTreeSet<usize>,
}

impl Placer for Recorder<'_> {
    fn arrives(&mut self, now: u64, index: usize, request: &Planned) -> Option<Ways> {
        self.placer.arrives(now, index, request)
    }

    fn due(&mut self, now: u64) -> (Vec<(usize, Ways)>, Vec<usize>) {
        self.placer.due(now)
    }

    fn prompt_read(&mut self, now: u64, index: usize) {
        self.placer.prompt_read(now, index);
    }

    fn generated(&mut self, now: u64, index: usize, tokens: u32) {
        self.placer.generated(now, index, tokens);
    }

    fn ended(&mut self, now: u64, index: usize) {
        self.served.insert(index);
        self.placer.ended(now, index);
    }
}
