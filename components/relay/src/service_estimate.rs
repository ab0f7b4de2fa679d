//! Averages over the streams of a service.

use std::time;

use crate::{length_estimator, linear_fit, prefill_model, stream_request};

/// Slot time of a stream until the first measurement, in milliseconds.
const DEFAULT_SLOT_MILLIS: f64 = 3_000.0;

/// Time from the end of a prefill to the first event until the first measurement, in milliseconds.
pub const DEFAULT_HANDOFF_MILLIS: f64 = 80.0;

/// Deviation of the time to the first event until the first measurement, in milliseconds.
const DEFAULT_DEVIATION_MILLIS: f64 = 20.0;

/// Decode rate of a stream until the first measurement, in tokens per millisecond.
pub const DEFAULT_DECODE_RATE: f64 = 1.0;

/// Smallest weight of a new stream in the moving averages.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;

/// Number of streams that the initial values count for.
const INITIAL_SAMPLES: f64 = 2.0;

/// Largest number of samples of one instance that count when estimates are combined.
const MAX_COMBINED_SAMPLES: u32 = 50;

/// Largest duration that an estimate may contain, in milliseconds.
const MAX_MILLIS: f64 = 3_600_000.0;

/// Largest number of tokens that an estimate may contain.
const MAX_TOKENS: f64 = 1e9;

/// Largest sum of products of tokens and milliseconds that an estimate may contain.
const MAX_SUM: f64 = 1e24;

/// Largest natural logarithm of a length, and largest variance of one, that an estimate may contain.
const MAX_LOGARITHM: f64 = 100.0;

/// A completed stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamSample {
    /// Time from the reservation of the slot to its release.
    pub slot_time: time::Duration,
    /// Mean memory use over the duration of the stream, in tokens.
    pub mean_tokens: u32,
    /// Output length that the caller expected, in tokens.
    pub expected_tokens: Option<u32>,
    /// Output length and time from the first event to the last; `None` for a stream that didn't
    /// start at its first event.
    pub output: Option<(u32, time::Duration)>,
}

/// Averages over the streams of a service, measured by one instance or combined over several.
///
/// They replace constants for the hardware and the workload of one site. Instances send them to
/// each other, since on a large site each has few streams of its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceEstimate {
    /// Number of requests.
    pub requests: u32,
    /// Number of completed streams.
    pub streams: u32,
    /// Durations of prefills in milliseconds by their tokens.
    pub prefill: linear_fit::LinearFit,
    /// Time from the end of a prefill to the first event, in milliseconds.
    pub handoff_millis: f64,
    /// Mean deviation of the time from the placement to the first event from the expected one, in
    /// milliseconds.
    pub deviation_millis: f64,
    /// Rate of a stream in tokens per millisecond.
    pub decode_rate: f64,
    /// Time from the reservation of a slot to its release, in milliseconds.
    pub slot_millis: f64,
    /// Prompt length in tokens.
    pub prompt_tokens: f64,
    /// Mean memory use of a stream over its duration, in tokens.
    pub mean_tokens: f64,
    /// Output lengths.
    pub lengths: length_estimator::LengthEstimator,
}

impl ServiceEstimate {
    /// Creates an estimate without measurements from the first request.
    #[must_use]
    pub fn new(request: &stream_request::StreamRequest) -> Self {
        Self {
            requests: 0,
            streams: 0,
            prefill: linear_fit::LinearFit::default(),
            handoff_millis: DEFAULT_HANDOFF_MILLIS,
            deviation_millis: DEFAULT_DEVIATION_MILLIS,
            decode_rate: DEFAULT_DECODE_RATE,
            slot_millis: DEFAULT_SLOT_MILLIS,
            prompt_tokens: f64::from(request.prompt_tokens),
            // Equals `StreamRequest::mean_tokens` for an estimated output of half the limit.
            mean_tokens: f64::from(request.prompt_tokens + request.output_tokens / 4),
            lengths: length_estimator::LengthEstimator::new(request.output_tokens),
        }
    }

    /// Returns whether all values are such as streams can have. Another instance may send others when
    /// it is faulty.
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        let millis = [self.handoff_millis, self.deviation_millis, self.slot_millis];
        let tokens = [self.decode_rate, self.prompt_tokens, self.mean_tokens];
        let sums = [
            self.prefill.weight,
            self.prefill.input,
            self.prefill.value,
            self.prefill.squared_input,
            self.prefill.product,
        ];
        let lengths = self.lengths;
        let variances = [lengths.log_variance, lengths.hint_variance];
        let within =
            |values: &[f64], limit| values.iter().all(|value| (0.0..=limit).contains(value));
        within(&millis, MAX_MILLIS)
            && within(&tokens, MAX_TOKENS)
            && within(&sums, MAX_SUM)
            && within(&variances, MAX_LOGARITHM)
            && lengths.log_mean.abs() <= MAX_LOGARITHM
    }

    /// Updates the averages with a request.
    pub fn observe_request(&mut self, request: &stream_request::StreamRequest) {
        let weight = sample_weight(self.requests);
        let tokens = f64::from(request.prompt_tokens);
        self.prompt_tokens += (tokens - self.prompt_tokens) * weight;
        self.requests = self.requests.saturating_add(1);
    }

    /// Updates the averages with a completed stream.
    pub fn observe_stream(&mut self, sample: &StreamSample) {
        let weight = sample_weight(self.streams);
        let approach = |average: &mut f64, value: f64| *average += (value - *average) * weight;
        approach(&mut self.slot_millis, to_millis(sample.slot_time));
        approach(&mut self.mean_tokens, f64::from(sample.mean_tokens));
        if let Some((tokens, duration)) = sample.output {
            let millis = to_millis(duration);
            if millis > 1.0 {
                approach(&mut self.decode_rate, f64::from(tokens) / millis);
            }
            self.lengths
                .observe(tokens, sample.expected_tokens, self.streams);
        }
        self.streams = self.streams.saturating_add(1);
    }

    /// Updates the averages with the first event of a stream: its time after the end of the
    /// prefill, and the difference from the time at which it was expected.
    pub fn observe_first_event(&mut self, handoff: time::Duration, deviation: time::Duration) {
        let weight = sample_weight(self.streams);
        self.handoff_millis += (to_millis(handoff) - self.handoff_millis) * weight;
        self.deviation_millis += (to_millis(deviation) - self.deviation_millis) * weight;
    }

    /// Returns the model of the prefill duration.
    #[must_use]
    pub fn prefill_model(&self) -> prefill_model::PrefillModel {
        prefill_model::PrefillModel::from_fit(&self.prefill)
    }

    /// Returns the average of several estimates, weighted by their numbers of samples; `None`
    /// without any.
    #[must_use]
    pub fn combine<'a>(estimates: impl IntoIterator<Item = &'a Self>) -> Option<Self> {
        let mut estimates = estimates.into_iter();
        let mut combined = *estimates.next()?;
        for other in estimates {
            combined.add(other);
        }
        Some(combined)
    }

    fn add(&mut self, other: &Self) {
        self.prefill.merge(&other.prefill);
        let share = combined_share(self.requests, other.requests);
        self.prompt_tokens += (other.prompt_tokens - self.prompt_tokens) * share;
        self.requests = self.requests.saturating_add(other.requests);
        let share = combined_share(self.streams, other.streams);
        let approach = |average: &mut f64, value: f64| *average += (value - *average) * share;
        approach(&mut self.handoff_millis, other.handoff_millis);
        approach(&mut self.deviation_millis, other.deviation_millis);
        approach(&mut self.decode_rate, other.decode_rate);
        approach(&mut self.slot_millis, other.slot_millis);
        approach(&mut self.mean_tokens, other.mean_tokens);
        approach(&mut self.lengths.log_mean, other.lengths.log_mean);
        approach(&mut self.lengths.log_variance, other.lengths.log_variance);
        approach(&mut self.lengths.hint_variance, other.lengths.hint_variance);
        self.streams = self.streams.saturating_add(other.streams);
    }
}

/// Returns the share of another instance's average with `other` samples in the combination with one
/// of `own` samples.
fn combined_share(own: u32, other: u32) -> f64 {
    let other = other.min(MAX_COMBINED_SAMPLES);
    if other == 0 {
        return 0.0;
    }
    f64::from(other) / (f64::from(own) + f64::from(other))
}

/// Returns the weight of a sample after a number of earlier ones.
fn sample_weight(samples: u32) -> f64 {
    (1.0 / (f64::from(samples) + INITIAL_SAMPLES)).max(MIN_SAMPLE_WEIGHT)
}

fn to_millis(duration: time::Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
