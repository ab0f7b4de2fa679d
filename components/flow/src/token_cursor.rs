//! Puts the tokens of one answer in order.

/// What to do with a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenAction {
    /// Pass the token to the caller.
    Deliver,
    /// Drop the token: the caller has it, or it is of another attempt or request.
    Drop,
    /// A token is missing; resume the stream at the cursor's offset.
    Gap,
}

/// Follows the answer of one request, across attempts.
#[derive(Clone, Copy, Debug)]
pub struct TokenCursor {
    request: ids::RequestId,
    attempt: ids::AttemptNumber,
    offset: u32,
}

impl TokenCursor {
    /// Makes a cursor at the beginning of an answer.
    #[must_use]
    pub const fn new(request: ids::RequestId) -> Self {
        Self {
            request,
            attempt: ids::AttemptNumber(0),
            offset: 0,
        }
    }

    /// Returns the offset of the next token the caller needs.
    #[must_use]
    pub const fn offset(&self) -> u32 {
        self.offset
    }

    /// Goes on with another attempt; tokens of earlier ones are dropped from now on.
    pub const fn follow(&mut self, attempt: ids::AttemptNumber) {
        self.attempt = attempt;
    }

    /// Decides about one token and advances if it is delivered.
    pub fn take(&mut self, event: &border::TokenEvent) -> TokenAction {
        if event.request != self.request
            || event.attempt != self.attempt
            || event.offset < self.offset
        {
            return TokenAction::Drop;
        }
        if event.offset > self.offset {
            return TokenAction::Gap;
        }
        self.offset += 1;
        TokenAction::Deliver
    }
}
