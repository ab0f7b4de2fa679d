//! Estimates the length of answers.

/// Smallest weight of a new answer in the moving averages.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;

/// Number of answers that the initial estimate counts for.
const INITIAL_SAMPLES: f64 = 4.0;

/// Initial estimate of the median as a share of the output limit.
const INITIAL_LIMIT_SHARE: f64 = 0.45;

/// Initial variance of the logarithms of lengths, and of their differences from the hints.
const INITIAL_VARIANCE: f64 = 0.25;

/// Smallest variance. With a smaller one, a single unusual answer would be far off.
const MIN_VARIANCE: f64 = 0.04;

/// Smallest remaining length as a share of the estimate, when an answer nears or exceeds its
/// estimate.
const MIN_REMAINING_SHARE: f64 = 0.2;

/// Estimates the length of answers of one service.
///
/// The logarithms of lengths are taken for normally distributed, and a caller's hint for a
/// measurement of the length with a normally distributed error in its logarithm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthEstimator {
    /// Mean of the natural logarithm of the length in tokens.
    pub log_mean: f64,
    /// Variance of that logarithm.
    pub log_variance: f64,
    /// Variance of the difference between that logarithm and the one of the hint.
    pub hint_variance: f64,
}

impl LengthEstimator {
    /// Creates an estimator from the output limit in tokens.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            log_mean: (f64::from(limit.max(1)) * INITIAL_LIMIT_SHARE)
                .ln()
                .max(0.0),
            log_variance: INITIAL_VARIANCE,
            hint_variance: INITIAL_VARIANCE,
        }
    }

    /// Updates the estimator with the length of an answer in tokens and its hint, after `answers`
    /// earlier answers.
    pub fn observe(&mut self, tokens: u32, hint: Option<u32>, answers: u32) {
        let weight = (1.0 / (f64::from(answers) + INITIAL_SAMPLES)).max(MIN_SAMPLE_WEIGHT);
        let log = log_tokens(tokens);
        let deviation = log - self.log_mean;
        self.log_mean += deviation * weight;
        self.log_variance += (deviation * deviation - self.log_variance) * weight;
        if let Some(hint) = hint {
            let error = log - log_tokens(hint);
            self.hint_variance += (error * error - self.hint_variance) * weight;
        }
    }

    /// Returns the expected length in tokens of an answer of at most `limit` tokens.
    ///
    /// `hint` is the length that the caller expects.
    #[must_use]
    pub fn expected(&self, hint: Option<u32>, limit: u32) -> u32 {
        let hint_weight = self.hint_weight();
        let log = hint.map_or(self.log_mean, |hint| {
            self.log_mean + (log_tokens(hint) - self.log_mean) * hint_weight
        });
        let variance = if hint.is_some() {
            self.variance_with_hint()
        } else {
            self.log_variance.max(MIN_VARIANCE)
        };
        // The mean of a log-normal distribution exceeds its median by this factor.
        let mean = (log + variance / 2.0).exp();
        round_tokens(mean).clamp(1, limit.max(1))
    }

    /// Returns the standard deviation of the length of an answer with a hint, relative to its
    /// expected length.
    #[must_use]
    pub fn relative_deviation(&self) -> f64 {
        self.variance_with_hint().sqrt()
    }

    /// Returns the weight of a hint against the mean of earlier answers.
    fn hint_weight(&self) -> f64 {
        let length = self.log_variance.max(MIN_VARIANCE);
        length / (length + self.hint_variance.max(MIN_VARIANCE))
    }

    fn variance_with_hint(&self) -> f64 {
        self.log_variance.max(MIN_VARIANCE) * (1.0 - self.hint_weight())
    }
}

/// Returns the expected remaining tokens of an answer with `generated` tokens so far, an estimated
/// length of `expected` and a limit of `limit` tokens.
#[must_use]
pub fn remaining_tokens(expected: u32, generated: u32, limit: u32) -> u32 {
    let min_remaining = round_tokens(f64::from(expected) * MIN_REMAINING_SHARE);
    expected
        .saturating_sub(generated)
        .max(min_remaining)
        .min(limit.saturating_sub(generated))
}

fn log_tokens(tokens: u32) -> f64 {
    f64::from(tokens.max(1)).ln()
}

fn round_tokens(tokens: f64) -> u32 {
    // The cast saturates; the callers' limits are far below `u32::MAX`.
    tokens.round() as u32
}
