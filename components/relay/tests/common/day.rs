//! Plays a day of generations over a policy that places them, and counts what callers get.
//!
//! Engines are modelled by their reading rate, pace and memory. Callers that are refused don't come
//! back.

use std::collections;

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
pub const LIMIT: u32 = 6_500;

/// The engines of a site.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub prefills: u8,
    pub decodes: u8,
    /// Memory of one engine, in tokens.
    pub kv_tokens: u32,
}

/// One request of the day.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    pub arrival: u64,
    pub prompt: u32,
    pub output: u32,
    pub hint: u32,
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    pub on_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Streams that were thrown out of an engine's memory.
    pub preempted: u32,
}

impl Tally {
    pub fn worth(self) -> f64 {
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
pub fn plan(seed: u64, calm_per_s: f64, burst: f64) -> Vec<Planned> {
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
pub struct Ways {
    pub prefill: usize,
    pub decode: usize,
}

/// A policy that places requests.
pub trait Placer {
    /// Takes a request; its place may follow by `due`.
    fn arrives(&mut self, now: u64, index: usize, request: &Planned) -> Option<Ways>;
    /// Returns requests that are placed now, and those that are refused.
    fn due(&mut self, now: u64) -> (Vec<(usize, Ways)>, Vec<usize>);
    /// Takes in that a prompt was read; returns the decode engine if it is another one now.
    fn prompt_read(&mut self, now: u64, index: usize) -> Option<usize>;
    fn generated(&mut self, now: u64, index: usize, tokens: u32);
    fn ended(&mut self, now: u64, index: usize);
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

/// Plays a day at a site.
pub fn play(site: Site, placer: &mut dyn Placer, requests: &[Planned]) -> Tally {
    let mut tally = Tally::default();
    let mut prefill_free = vec![0_u64; usize::from(site.prefills)];
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
        preempt(site, requests, &mut running, now, &mut tally);
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
            if let Some(decode) = placer.prompt_read(now, *index) {
                stream.ways.decode = decode;
            }
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
    site: Site,
    requests: &[Planned],
    running: &mut collections::BTreeMap<usize, Running>,
    now: u64,
    tally: &mut Tally,
) {
    for engine in 0..usize::from(site.decodes) {
        let held = |running: &collections::BTreeMap<usize, Running>| -> u32 {
            running
                .iter()
                .filter(|(_, stream)| stream.ways.decode == engine && stream.read_at <= now)
                .map(|(index, stream)| requests[*index].prompt + stream.generated as u32)
                .sum()
        };
        while held(running) > site.kv_tokens {
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
