//! Guesses how long answers will be.

/// Weight of a caller's expectation against what earlier answers tell; expectations are often far
/// off, and half of the way to the mean is the better guess.
const HINT_WEIGHT: f64 = 0.46;

/// Weight of a new answer in the mean.
const MEAN_SMOOTHING: f64 = 0.02;

/// Ratio of the mean to the median where answers vary as the guesses do.
const MEAN_TO_MEDIAN_RATIO: f64 = 1.06;

/// Share of the limit that answers take until some have ended.
const INITIAL_LIMIT_SHARE: f64 = 0.45;

/// Share of a guess that is expected to follow when an answer nears or exceeds its guess.
const MIN_REMAINING_SHARE: f64 = 0.2;

/// Guesses how long the answers of one service will be.
#[derive(Clone, Copy, Debug)]
pub struct LengthEstimator {
    /// Mean of the logarithms of answers' tokens.
    log_mean: f64,
}

impl LengthEstimator {
    /// Makes a guess from the most tokens that answers may have.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            log_mean: (f64::from(limit.max(1)) * INITIAL_LIMIT_SHARE)
                .ln()
                .max(0.0),
        }
    }

    /// Learns the length of an answer, in tokens.
    pub fn observe(&mut self, tokens: u32) {
        let log = f64::from(tokens.max(1)).ln();
        self.log_mean += (log - self.log_mean) * MEAN_SMOOTHING;
    }

    /// Returns the expected tokens of an answer of at most `limit`.
    #[must_use]
    pub fn expected(&self, hint: Option<u32>, limit: u32) -> u32 {
        let log = hint.map_or(self.log_mean, |hint| {
            let hint = f64::from(hint.max(1)).ln();
            self.log_mean + (hint - self.log_mean) * HINT_WEIGHT
        });
        whole(log.exp() * MEAN_TO_MEDIAN_RATIO).clamp(1, limit.max(1))
    }
}

/// Returns the tokens that are expected to follow `generated` ones of an answer that was guessed
/// to have `expected` and has `limit` at most.
#[must_use]
pub fn remaining_tokens(expected: u32, generated: u32, limit: u32) -> u32 {
    let least = whole(f64::from(expected) * MIN_REMAINING_SHARE);
    expected
        .saturating_sub(generated)
        .max(least)
        .min(limit.saturating_sub(generated))
}

fn whole(tokens: f64) -> u32 {
    // Saturates; the callers' limits are far below.
    tokens.round() as u32
}
