//! Ordering of the tokens of one answer.

/// The action to take for a received token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenAction {
    /// Deliver the token to the caller.
    Deliver,
    /// Drop the token: it was delivered before, or belongs to another attempt or request.
    Drop,
    /// A token is missing; the stream must be resumed at the cursor's offset.
    Gap,
}

/// The position in the answer of one request, kept across attempts.
#[derive(Clone, Copy, Debug)]
pub struct TokenCursor {
    request: ids::RequestId,
    attempt: ids::AttemptNumber,
    offset: u32,
}

impl TokenCursor {
    /// Creates a cursor at the beginning of an answer.
    #[must_use]
    pub const fn new(request: ids::RequestId) -> Self {
        Self {
            request,
            attempt: ids::AttemptNumber(0),
            offset: 0,
        }
    }

    /// Returns the offset of the next token to deliver.
    #[must_use]
    pub const fn offset(&self) -> u32 {
        self.offset
    }

    /// Switches to another attempt; tokens of other attempts are dropped from then on.
    pub const fn follow(&mut self, attempt: ids::AttemptNumber) {
        self.attempt = attempt;
    }

    /// Returns the action for one token and advances the cursor if the token is to be delivered.
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
