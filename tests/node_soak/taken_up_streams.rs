//! Streams of the soak test that callers take up at another process.

use std::{collections, net, sync, time};

use crate::common::{caller, fake_engine, fake_worker};

/// Prefix of the ids of these streams.
pub const PREFIX: &str = "again-";

/// Number of streams that may hold events of two versions.
const MIXED_STREAMS: usize = 2;

/// Number of streams from which the share that goes on is checked.
const MIN_STREAMS: usize = 12;

/// Pause between two streams.
const PAUSE: time::Duration = time::Duration::from_millis(60);

/// A stream that its caller left after two events and took up at another process.
pub struct TakenUpStream {
    /// Index of the process at which the stream was taken up.
    pub process: usize,
    /// Time at which it was taken up.
    pub at: time::Instant,
    /// Software versions that its events name.
    versions: collections::BTreeSet<String>,
    goes_on: bool,
}

/// Begins streams and takes them up elsewhere until `stop` is set.
pub async fn take_streams_up(
    addresses: Vec<net::SocketAddr>,
    stop: sync::Arc<sync::atomic::AtomicBool>,
    streams: sync::Arc<sync::Mutex<Vec<TakenUpStream>>>,
) {
    for round in 0.. {
        if stop.load(sync::atomic::Ordering::Relaxed) {
            return;
        }
        tokio::time::sleep(PAUSE).await;
        let (from, to) = (round % addresses.len(), (round * 7 + 1) % addresses.len());
        let id = format!("{PREFIX}c{from}-{round}");
        let begun = caller::begin_stream(addresses[from], &caller::draft(&id, 100)).await;
        let Some(begun) = begun else { continue };
        let last = begun.matches("\n\n").count() as u64;
        let at = time::Instant::now();
        let next = caller::draft_after(&format!("{PREFIX}c{to}-{round}b"), &id, last);
        let answer = caller::try_send(addresses[to], &next).await;
        let rest = answer.as_ref().map(|answer| answer.message.text());
        let rest = rest.unwrap_or_default();
        streams
            .lock()
            .expect("no caller panicked")
            .push(TakenUpStream {
                process: to,
                at,
                versions: versions(&begun).chain(versions(&rest)).collect(),
                goes_on: answer.is_some_and(|answer| answer.status == 200 && answer.complete),
            });
    }
}

/// Returns the software versions that the events of a text name.
pub fn versions(text: &str) -> impl Iterator<Item = String> {
    text.lines()
        .filter_map(|line| line.split_once(fake_engine::VERSION_MARK))
        .map(|(_, version)| version.trim().to_owned())
}

/// Returns the violations that the streams show. `is_excused` tells whether a fault of the process
/// that took a stream up excuses that it doesn't go on; `served` is the share of new streams that are
/// served.
pub fn violations(
    streams: &[TakenUpStream],
    is_excused: impl Fn(usize, time::Instant) -> bool,
    served: f64,
) -> Vec<String> {
    let counted = streams
        .iter()
        .filter(|stream| !is_excused(stream.process, stream.at));
    let goes_on: Vec<bool> = counted.map(|stream| stream.goes_on).collect();
    let share = goes_on.iter().filter(|goes_on| **goes_on).count() as f64 / goes_on.len() as f64;
    let mut violations = Vec::new();
    violations.extend(mixed_violation(
        streams.iter().map(|stream| &stream.versions),
    ));
    if goes_on.len() >= MIN_STREAMS && share < served / 2.0 {
        let count = goes_on.len();
        violations.push(format!(
            "{share:.2} of {count} taken up streams go on, {served:.2} of new ones"
        ));
    }
    violations
}

/// Returns the violation that the software versions of streams show, if any.
pub fn mixed_violation<'a>(
    streams: impl Iterator<Item = &'a collections::BTreeSet<String>>,
) -> Option<String> {
    let mixed = streams.filter(|versions| versions.len() > 1).count();
    (mixed > MIXED_STREAMS).then(|| format!("{mixed} streams hold events of two versions"))
}

/// Makes engines of two versions name their version in their events.
pub fn mark_engines(engines: &[fake_worker::FakeWorker]) {
    for engine in engines {
        engine.mark_events();
    }
}
