//! Sends a whole state to peers in parts.

use std::{sync, time};

use crate::message;

/// Approximate maximum size of one part of a state, in bytes.
pub const PART_LIMIT_BYTES: usize = 128_000;

/// Time without a request after which the cached parts are freed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Sends a whole state to peers in parts.
///
/// The parts of the last requested state are cached until another state is requested, so that a
/// peer can complete its fetch while further notes come into force.
#[derive(Debug, Default)]
pub(crate) struct StateSender {
    summary: message::Summary,
    texts: Vec<sync::Arc<str>>,
    /// Time of the latest request for a part.
    last_request: clock::Timestamp,
}

impl StateSender {
    /// Returns part `number` of the requested state, or the first part of `state` when the
    /// requested state is no longer cached.
    pub(crate) fn part(
        &mut self,
        now: clock::Timestamp,
        requested: message::Summary,
        number: u32,
        state: &note::StateInForce,
    ) -> Option<message::StatePart> {
        self.last_request = now;
        let cached = requested == self.summary && !self.texts.is_empty();
        if !cached {
            self.split(state)?;
        }
        let number = if cached { number } else { 1 };
        let index = usize::try_from(number.checked_sub(1)?).ok()?;
        Some(message::StatePart {
            summary: self.summary,
            number,
            count: u32::try_from(self.texts.len()).ok()?,
            text: sync::Arc::clone(self.texts.get(index)?),
        })
    }

    /// Frees the cached parts when none was requested recently.
    pub(crate) fn free_idle(&mut self, now: clock::Timestamp) {
        if now.since(self.last_request) > IDLE_TIMEOUT {
            self.texts = Vec::new();
        }
    }

    fn split(&mut self, state: &note::StateInForce) -> Option<()> {
        let summary = message::Summary {
            revision: state.revision,
            digest: state.digest(),
        };
        if summary != self.summary || self.texts.is_empty() {
            self.texts = note::split(state, PART_LIMIT_BYTES).ok()?;
            self.summary = summary;
        }
        Some(())
    }
}
