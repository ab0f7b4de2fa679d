//! Foretells the memory that the streams of a decode engine will take.

use crate::engine_usage;

/// Returns the most tokens that streams hold together from now until the last of them ends.
///
/// The streams of an engine generate at one pace, so that each holds as many tokens more as any
/// other, until it ends and frees all of its own.
#[must_use]
pub fn peak_tokens(streams: impl IntoIterator<Item = engine_usage::StreamLoad>) -> u64 {
    let mut streams: Vec<engine_usage::StreamLoad> = streams.into_iter().collect();
    streams.sort_unstable_by_key(|stream| stream.remaining);
    let mut held: u64 = streams.iter().map(|stream| u64::from(stream.held)).sum();
    let mut left = u64::try_from(streams.len()).unwrap_or(u64::MAX);
    let mut generated = 0;
    let mut peak = held;
    for stream in streams {
        let step = u64::from(stream.remaining) - generated;
        held += step * left;
        generated += step;
        peak = peak.max(held);
        held -= u64::from(stream.held) + generated;
        left -= 1;
    }
    peak
}
