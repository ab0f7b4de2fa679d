//! What a request class reaches.

use crate::{call_class, generation_class};

/// What a request class reaches.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum ClassTarget {
    /// Requests that a model answers.
    Generation(generation_class::GenerationClass),
    /// Calls that a plain service answers.
    Call(call_class::CallClass),
}
