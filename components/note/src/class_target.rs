//! Target of the requests of a class.

use crate::{call_class, generation_class};

/// Target of the requests of a class.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum ClassTarget {
    /// Model requests.
    Generation(generation_class::GenerationClass),
    /// Calls to a plain service.
    Call(call_class::CallClass),
}
