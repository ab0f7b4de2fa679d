//! Duration of the prefill of a prompt.

use std::time;

use crate::linear_fit;

/// Time that a prefill takes besides the processing of its tokens, until it is measured, in
/// milliseconds.
const DEFAULT_OVERHEAD_MILLIS: f64 = 8.0;

/// Time to process one token until it is measured, in milliseconds.
const DEFAULT_TOKEN_MILLIS: f64 = 0.02;

/// Number of measured prefills at which the default durations count half as much as at first.
const HALF_DEFAULT_SAMPLES: f64 = 4.0;

/// Lengths of two prompts, in tokens, whose default durations count as samples. They keep the model
/// plausible while few prefills have been measured.
const DEFAULT_SAMPLE_TOKENS: [f64; 2] = [1_000.0, 6_000.0];

/// Duration of a prefill as a function of the number of tokens. Prompts that are queued at one
/// engine overlap in their overheads, but not in the processing of their tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillModel {
    /// Time besides the processing of the tokens, in milliseconds.
    pub overhead_millis: f64,
    /// Time to process one token, in milliseconds.
    pub token_millis: f64,
}

impl Default for PrefillModel {
    fn default() -> Self {
        Self {
            overhead_millis: DEFAULT_OVERHEAD_MILLIS,
            token_millis: DEFAULT_TOKEN_MILLIS,
        }
    }
}

impl PrefillModel {
    /// Returns the model of measured prefills; without any it is the default one.
    #[must_use]
    pub fn from_fit(fit: &linear_fit::LinearFit) -> Self {
        let mut fit = *fit;
        let default_weight = HALF_DEFAULT_SAMPLES / (HALF_DEFAULT_SAMPLES + fit.weight);
        for tokens in DEFAULT_SAMPLE_TOKENS {
            let millis = DEFAULT_OVERHEAD_MILLIS + DEFAULT_TOKEN_MILLIS * tokens;
            let sample = linear_fit::LinearFit::of_sample(tokens, millis);
            fit.merge(&sample.weighted(default_weight));
        }
        fit.line().map_or_else(Self::default, |line| Self {
            overhead_millis: line.intercept,
            token_millis: line.slope,
        })
    }

    /// Returns the time for which `tokens` tokens occupy an engine.
    #[must_use]
    pub fn occupancy(&self, tokens: u32) -> time::Duration {
        millis(self.token_millis * f64::from(tokens))
    }

    /// Returns the duration of the prefill of `tokens` tokens on an idle engine.
    #[must_use]
    pub fn duration(&self, tokens: u32) -> time::Duration {
        millis(self.overhead_millis) + self.occupancy(tokens)
    }
}

fn millis(millis: f64) -> time::Duration {
    clock::bounded_millis(millis)
}
