//! Gives a whole state to peers, part by part.

use std::{sync, time};

use crate::message;

/// Bytes of one part of a state.
pub const PART_LIMIT_BYTES: usize = 128_000;

/// Time after which a divided state that nobody asks for is freed.
const IDLE_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Gives a whole state to peers, part by part.
///
/// The state that was divided last is kept until another one is asked for, so that a peer that
/// has begun to fetch it can finish while notes go on coming into force.
#[derive(Debug, Default)]
pub(crate) struct StateDonor {
    summary: message::Summary,
    texts: Vec<sync::Arc<str>>,
    /// When a peer last asked for a part.
    last_ask: clock::Timestamp,
}

impl StateDonor {
    /// Returns a part of the state asked for, or the first one of `state` when that one is gone.
    pub(crate) fn part(
        &mut self,
        now: clock::Timestamp,
        asked: message::Summary,
        number: u32,
        state: &note::StateInForce,
    ) -> Option<message::StatePart> {
        self.last_ask = now;
        let held = asked == self.summary && !self.texts.is_empty();
        if !held {
            self.divide(state)?;
        }
        let number = if held { number } else { 1 };
        let index = usize::try_from(number.checked_sub(1)?).ok()?;
        Some(message::StatePart {
            summary: self.summary,
            number,
            count: u32::try_from(self.texts.len()).ok()?,
            text: sync::Arc::clone(self.texts.get(index)?),
        })
    }

    /// Frees the divided state when nobody has asked for it lately.
    pub(crate) fn free(&mut self, now: clock::Timestamp) {
        if now.since(self.last_ask) > IDLE_LIMIT {
            self.texts = Vec::new();
        }
    }

    fn divide(&mut self, state: &note::StateInForce) -> Option<()> {
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
