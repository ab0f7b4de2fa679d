//! Forecast of the memory that the streams of a decode engine will use.

use crate::engine_usage;

/// Returns the peak of the tokens in memory over all streams until the last stream ends.
///
/// The streams of an engine are assumed to generate at the same rate: each grows by the same number
/// of tokens until it ends and frees its memory.
#[must_use]
pub fn peak_tokens(streams: impl IntoIterator<Item = engine_usage::StreamLoad>) -> u64 {
    let mut streams: Vec<engine_usage::StreamLoad> = streams.into_iter().collect();
    streams.sort_unstable_by_key(|stream| stream.remaining);
    let mut held: u64 = streams.iter().map(|stream| u64::from(stream.held)).sum();
    let mut active = u64::try_from(streams.len()).unwrap_or(u64::MAX);
    let mut generated = 0;
    let mut peak = held;
    for stream in streams {
        let step = u64::from(stream.remaining) - generated;
        held += step * active;
        generated += step;
        peak = peak.max(held);
        held -= u64::from(stream.held) + generated;
        active -= 1;
    }
    peak
}

/// Returns the standard deviation of the total remaining output of streams, in tokens.
///
/// `relative` is the standard deviation of the output of one stream, relative to its estimate.
#[must_use]
pub fn remaining_deviation(
    streams: impl IntoIterator<Item = engine_usage::StreamLoad>,
    relative: f64,
) -> f64 {
    let variance: f64 = streams
        .into_iter()
        .map(|stream| (f64::from(stream.remaining) * relative).powi(2))
        .sum();
    variance.sqrt()
}
