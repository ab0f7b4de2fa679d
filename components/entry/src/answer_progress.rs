//! How far an answer has come.

use crate::token_piece;

/// What became of a token that arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenVerdict {
    /// The caller gets the token.
    Delivered,
    /// The caller gets the token and it is the first of the answer.
    First,
    /// The token is a repeat or belongs to another attempt.
    Dropped,
    /// A token before it is missing.
    Gap,
}

/// How far an answer has come, across attempts.
#[derive(Debug)]
pub struct AnswerProgress {
    cursor: flow::TokenCursor,
    /// Text that the caller has, which a repeated prefill must contain.
    text: String,
}

impl AnswerProgress {
    /// Starts an answer.
    #[must_use]
    pub const fn new(request: ids::RequestId) -> Self {
        Self {
            cursor: flow::TokenCursor::new(request),
            text: String::new(),
        }
    }

    /// Returns the offset of the next token.
    #[must_use]
    pub const fn offset(&self) -> u32 {
        self.cursor.offset()
    }

    /// Returns the text that the caller has.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Follows another attempt; tokens of earlier ones are dropped from now on.
    pub const fn follow(&mut self, attempt: ids::AttemptNumber) {
        self.cursor.follow(attempt);
    }

    /// Decides about a token and passes it to `deliver` when it is the next one.
    pub fn take(
        &mut self,
        token: border::TokenEvent,
        deliver: impl FnOnce(token_piece::TokenPiece),
    ) -> TokenVerdict {
        match self.cursor.take(&token) {
            flow::TokenAction::Drop => TokenVerdict::Dropped,
            flow::TokenAction::Gap => TokenVerdict::Gap,
            flow::TokenAction::Deliver => {
                self.text.push_str(&token.text);
                deliver(token_piece::TokenPiece {
                    text: token.text,
                    finish: token.finish,
                });
                if token.offset == 0 {
                    TokenVerdict::First
                } else {
                    TokenVerdict::Delivered
                }
            }
        }
    }
}
