//! A piece of an answer on its way to the caller.

/// A token that passed the cursor, on its way to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenPiece {
    /// Text of the token.
    pub text: String,
    /// Set on the last token.
    pub finish: Option<border::FinishReason>,
}
