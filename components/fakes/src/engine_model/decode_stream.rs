//! The stream of tokens of one attempt.

use crate::engine_model::{import_work, work_key};

/// Tokens to generate.
#[derive(Clone, Debug, bon::Builder)]
pub struct DecodeWork {
    /// The attempt the work belongs to.
    pub key: work_key::WorkKey,
    /// Length the model's answer has when nothing cuts it, in tokens.
    pub output_tokens: u32,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
    /// First token wanted.
    #[builder(default)]
    pub offset: u32,
}

/// How far an attempt has come at its decode engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamPhase {
    /// Waits for a slot and for memory.
    Waiting,
    /// The KV cache is on the link; the flags say which end is done.
    Moving {
        /// The source has sent everything.
        sent: bool,
        /// The importing link has carried everything.
        carried: bool,
    },
    /// The KV cache is here and nobody has asked for tokens.
    Ready,
    /// Tokens are generated.
    Decoding,
}

/// The stream of tokens of one attempt.
#[derive(Clone, Debug)]
pub struct DecodeStream {
    /// The import that made it.
    pub work: import_work::ImportWork,
    /// How far it has come.
    pub phase: StreamPhase,
    /// Time the import was asked for.
    pub since: clock::Timestamp,
    /// Order of arrival.
    pub arrival: u64,
    /// Offset of the next token.
    pub next_offset: u32,
    /// Offset behind the last token.
    pub end_offset: u32,
    /// Why the stream ends there.
    pub finish: border::FinishReason,
}

impl DecodeStream {
    /// Returns whether the stream holds a slot and memory.
    pub const fn is_admitted(&self) -> bool {
        !matches!(self.phase, StreamPhase::Waiting)
    }
}
