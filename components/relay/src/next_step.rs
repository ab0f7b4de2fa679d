//! Decides the next step after a step of a generation failed.

use crate::backend_health;

/// Utilization from which a decode engine may refuse requests for lack of memory.
const FULL_UTILIZATION: f64 = 0.75;

/// Step of a generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StreamStep {
    /// Prefill of the prompt at the prefill engine.
    Prefill,
    /// Request to the decode engine, up to its first event.
    Decode,
    /// Generation after the first event.
    Generate,
}

/// Next step after a failure.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum NextStep {
    /// Transfer the prefill result to another decode engine.
    #[strum(serialize = "move_on")]
    MoveDecode,
    /// Retry on the same decode engine, which prefills the missing part of the prompt itself or
    /// fetches it from the prefill engine's cache.
    #[strum(serialize = "stay_on")]
    RetryDecode,
    /// Place the request again on newly selected engines.
    Restart,
    /// Give up: the deadline has passed.
    #[strum(serialize = "out_of_time")]
    DeadlineExceeded,
    /// Give up: the attempt limit is reached.
    #[strum(serialize = "out_of_tries")]
    AttemptsExhausted,
    /// Give up: the request may have run and must not run again.
    MayHaveRun,
    /// Give up: the retry bound is exhausted.
    RetryBound,
    /// Give up: the request, or a segment of its prompt, crashes engines.
    Quarantine,
}

impl NextStep {
    /// Returns whether another attempt follows.
    #[must_use]
    pub const fn is_retry(self) -> bool {
        matches!(self, Self::MoveDecode | Self::RetryDecode | Self::Restart)
    }
}

/// Failure of a step.
#[derive(Clone, Copy, Debug, bon::Builder)]
pub struct StepFailure {
    /// Step that failed.
    pub step: StreamStep,
    /// Outcome of the step.
    pub outcome: backend_health::BackendOutcome,
    /// Whether the failure proves that the step didn't run the request.
    pub not_run: bool,
    /// Whether a prefill result is still stored and untransferred.
    #[builder(default)]
    pub has_result: bool,
    /// Utilization of the decode engine according to the usage counts of all instances.
    #[builder(default)]
    pub fill: f64,
    /// Whether the request was already retried on the same decode engine.
    #[builder(default)]
    pub decode_retried: bool,
    /// Whether the engine is draining or has asked to be sent nothing.
    #[builder(default)]
    pub engine_unwilling: bool,
}

impl StepFailure {
    /// Returns the next step before deadline, attempt limit and retry bound are checked.
    #[must_use]
    pub fn preferred_step(&self) -> NextStep {
        let step = self.step_for_willing_engine();
        if !self.engine_unwilling {
            return step;
        }
        match step {
            NextStep::RetryDecode | NextStep::Restart
                if self.step == StreamStep::Decode && self.has_result =>
            {
                NextStep::MoveDecode
            }
            NextStep::RetryDecode => NextStep::Restart,
            step => step,
        }
    }

    /// Returns the next step if the engine may receive another request.
    fn step_for_willing_engine(&self) -> NextStep {
        use backend_health::BackendOutcome as Outcome;
        match (self.step, self.outcome) {
            (StreamStep::Decode, Outcome::Unreachable) if self.has_result => NextStep::MoveDecode,
            // A decode engine with free capacity refuses only because the prefill result is
            // missing.
            (StreamStep::Decode, Outcome::Refused)
                if !self.decode_retried && self.fill < FULL_UTILIZATION =>
            {
                NextStep::RetryDecode
            }
            (StreamStep::Decode, Outcome::Refused) if self.has_result => NextStep::MoveDecode,
            // After a broken connection the engine still has the prompt in its cache.
            (StreamStep::Decode, Outcome::Broken) if !self.decode_retried => NextStep::RetryDecode,
            (StreamStep::Generate, Outcome::Broken) => NextStep::RetryDecode,
            _ => NextStep::Restart,
        }
    }
}

/// Numbers of requests to engines for one generation, from which the cost of a retry follows.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptCount {
    /// Requests to prefill engines, including refused ones.
    pub prefills: u32,
    /// Requests to decode engines.
    pub decodes: u32,
}

impl AttemptCount {
    /// Returns the number of retries that a step consumes from the retry bound.
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
