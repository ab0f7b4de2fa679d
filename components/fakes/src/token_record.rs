//! The tokens that a stand-in engine has generated for an attempt.

use tokio::sync::watch;

/// How far the generation for an attempt has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct TokenCount {
    /// Offset behind the last token generated.
    pub(crate) end: u32,
    /// Set when the answer is whole.
    pub(crate) finish: Option<border::FinishReason>,
}

/// The tokens of an attempt; dropping it ends the streams that read it.
pub(crate) struct TokenRecord {
    sender: watch::Sender<TokenCount>,
}

impl TokenRecord {
    /// Makes a record without tokens.
    pub(crate) fn new() -> Self {
        Self {
            sender: watch::Sender::new(TokenCount::default()),
        }
    }

    /// Follows the record.
    pub(crate) fn follow(&self) -> watch::Receiver<TokenCount> {
        self.sender.subscribe()
    }

    /// Notes a token.
    pub(crate) fn note(&self, offset: u32, finish: Option<border::FinishReason>) {
        self.sender.send_replace(TokenCount {
            end: offset + 1,
            finish,
        });
    }
}
