//! Decides what follows when a step of a generation fails.

use crate::backend_health;

/// Share of its memory at which a decode engine may refuse for lack of room.
const FULL: f64 = 0.75;

/// The step that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StreamStep {
    /// Reading the prompt at the prefill engine.
    Prefill,
    /// Sending the request to the decode engine, up to its first event.
    Decode,
    /// Generating, after the first event.
    Generate,
}

/// What follows.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum NextStep {
    /// The prefill result goes to another decode engine.
    #[strum(serialize = "move_on")]
    MoveDecode,
    /// The same decode engine reads what it lacks of the prompt, or takes it from the prefill
    /// engine's cache.
    #[strum(serialize = "stay_on")]
    RetryDecode,
    /// The request is given engines anew.
    Restart,
    /// Nothing: the time is up.
    #[strum(serialize = "out_of_time")]
    DeadlineExceeded,
    /// Nothing: it was tried often enough.
    #[strum(serialize = "out_of_tries")]
    AttemptsExhausted,
    /// Nothing: it may have run and may not run again.
    MayHaveRun,
    /// Nothing: the share of repeats is used up.
    RetryBound,
}

impl NextStep {
    /// Returns whether another attempt follows.
    #[must_use]
    pub const fn is_retry(self) -> bool {
        matches!(self, Self::MoveDecode | Self::RetryDecode | Self::Restart)
    }
}

/// What is known when a step fails.
#[derive(Clone, Copy, Debug, bon::Builder)]
pub struct StepFailure {
    /// The step.
    pub step: StreamStep,
    /// What became of it.
    pub outcome: backend_health::BackendOutcome,
    /// Whether it is proved that the request wasn't run by it.
    pub not_run: bool,
    /// Whether a prefill result is kept that nobody has taken.
    #[builder(default)]
    pub has_result: bool,
    /// Share of the decode engine's memory that was taken by all counts.
    #[builder(default)]
    pub fill: f64,
    /// Whether the decode engine has been told to read the prompt itself already.
    #[builder(default)]
    pub decode_retried: bool,
}

impl StepFailure {
    /// Returns what would follow if time, tries and repeats allow it.
    #[must_use]
    pub fn preferred_step(&self) -> NextStep {
        use backend_health::BackendOutcome as Outcome;
        match (self.step, self.outcome) {
            (StreamStep::Decode, Outcome::Unreachable) if self.has_result => NextStep::MoveDecode,
            // A decode engine with room by all counts refuses because the result is gone.
            (StreamStep::Decode, Outcome::Refused) if !self.decode_retried && self.fill < FULL => {
                NextStep::RetryDecode
            }
            (StreamStep::Decode, Outcome::Refused) if self.has_result => NextStep::MoveDecode,
            // The engine that broke a stream off still has the prompt in its cache.
            (StreamStep::Decode, Outcome::Broken) if !self.decode_retried => NextStep::RetryDecode,
            (StreamStep::Generate, Outcome::Broken) => NextStep::RetryDecode,
            _ => NextStep::Restart,
        }
    }
}

/// Counts what a request has cost, for the bound on repeats.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptCount {
    /// Prompts that prefill engines were given, those included that they refused.
    pub prefills: u32,
    /// Requests that decode engines were given.
    pub decodes: u32,
}

impl AttemptCount {
    /// Returns the repeats that a step costs.
    #[must_use]
    pub const fn cost(&self, step: NextStep) -> u32 {
        let decode = if self.decodes > 0 { 1 } else { 0 };
        let prefill = if self.prefills > 0 { 1 } else { 0 };
        match step {
            NextStep::MoveDecode | NextStep::RetryDecode => decode,
            NextStep::Restart => decode + prefill,
            _ => 0,
        }
    }
}
