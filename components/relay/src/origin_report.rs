//! Report of the software version that began a stream.

use std::time;

use crate::software_key;

/// Report of the software version that began a stream, sent in state updates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OriginReport {
    /// Hash of the caller's attempt that began the stream, from [`stream_hash`].
    pub stream: u64,
    /// Software version of the engine.
    pub software: software_key::SoftwareKey,
    /// Time for which the caller may still take the stream up.
    pub remaining: time::Duration,
    /// Prompt that engines of the version were sent; `None` if it has no part of its own, or if the
    /// reporter doesn't tell.
    pub prompt: Option<SentPrompt>,
}

/// Prompt that engines of a software version were sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentPrompt {
    /// Hash of the last part of the prompt, from [`crate::part_hash`].
    pub part: u64,
    /// Whether a prefill engine was sent the prompt; otherwise only a decode engine was.
    pub to_prefill: bool,
    /// Whether the sender didn't know the prompts that were sent before it started, so that it sent this one
    /// in the way of a repeated one.
    pub may_be_repeat: bool,
}

/// Returns the hash that identifies a stream by the id of the caller's attempt that began it.
#[must_use]
pub fn stream_hash(attempt: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(attempt.as_bytes())
}

/// Seed of [`sent_prompt_key`].
const SENT_SEED: u64 = 1;

/// Seed of [`read_prompt_key`].
const READ_SEED: u64 = 2;

/// Returns the key under which a version is reported that was sent the prompt of a stream which then went to
/// another one.
pub(crate) fn displaced_key(stream: u64, software: software_key::SoftwareKey) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&stream.to_le_bytes(), software.version)
}

/// Seed of [`first_prompt_key`].
const FIRST_SEED: u64 = 3;

/// Returns the key under which instances of earlier releases report the version that was sent a prompt,
/// by the hash of its last part.
pub(crate) fn sent_prompt_key(part: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&part.to_le_bytes(), SENT_SEED)
}

/// Returns the key under which the version is reported whose engines alone can have read a prompt, by
/// the hash of its last part.
pub(crate) fn read_prompt_key(part: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&part.to_le_bytes(), READ_SEED)
}

/// Returns the key under which the version is reported whose prefill engine holds a prompt, by the hash of
/// its last part.
pub(crate) fn first_prompt_key(part: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&part.to_le_bytes(), FIRST_SEED)
}
