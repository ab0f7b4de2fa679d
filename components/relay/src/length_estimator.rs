//! Estimates the length of answers.

/// Weight of a caller's hint against the mean of earlier answers. Hints are often far off, and a
/// value about halfway to the mean is a better estimate.
const HINT_WEIGHT: f64 = 0.46;

/// Weight of a new answer in the moving mean.
const MEAN_SMOOTHING: f64 = 0.02;

/// Ratio of the mean to the median of answer lengths. The exponential of a mean of logarithms is
/// the geometric mean, which equals the median of log-normal lengths; this factor converts that
/// median to an estimate of the mean.
const MEAN_TO_MEDIAN_RATIO: f64 = 1.06;

/// Initial estimate of the median as a share of the output limit.
const INITIAL_LIMIT_SHARE: f64 = 0.45;

/// Smallest remaining length as a share of the estimate, when an answer nears or exceeds its
/// estimate.
const MIN_REMAINING_SHARE: f64 = 0.2;

/// Estimates the length of answers of one service.
#[derive(Clone, Copy, Debug)]
pub struct LengthEstimator {
    /// Moving mean of the natural logarithm of the answer length in tokens.
    log_mean: f64,
}

impl LengthEstimator {
    /// Creates an estimator from the output limit in tokens.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            log_mean: (f64::from(limit.max(1)) * INITIAL_LIMIT_SHARE)
                .ln()
                .max(0.0),
        }
    }

    /// Updates the mean with the length of an answer in tokens.
    pub fn observe(&mut self, tokens: u32) {
        let log = f64::from(tokens.max(1)).ln();
        self.log_mean += (log - self.log_mean) * MEAN_SMOOTHING;
    }

    /// Returns the expected length in tokens of an answer of at most `limit` tokens.
    ///
    /// `hint` is the length that the caller expects.
    #[must_use]
    pub fn expected(&self, hint: Option<u32>, limit: u32) -> u32 {
        let log = hint.map_or(self.log_mean, |hint| {
            let hint = f64::from(hint.max(1)).ln();
            self.log_mean + (hint - self.log_mean) * HINT_WEIGHT
        });
        round_tokens(log.exp() * MEAN_TO_MEDIAN_RATIO).clamp(1, limit.max(1))
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

fn round_tokens(tokens: f64) -> u32 {
    // The cast saturates; the callers' limits are far below `u32::MAX`.
    tokens.round() as u32
}
