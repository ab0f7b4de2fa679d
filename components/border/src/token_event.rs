//! One token of an answer.

use crate::finish_reason;

/// One token of an answer, bound to its request and attempt.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct TokenEvent {
    /// Request the token belongs to.
    pub request: ids::RequestId,
    /// Attempt the token belongs to.
    pub attempt: ids::AttemptNumber,
    /// Place of the token in the answer, from zero.
    pub offset: u32,
    /// Text of the token.
    pub text: String,
    /// Set on the last token.
    pub finish: Option<finish_reason::FinishReason>,
}
