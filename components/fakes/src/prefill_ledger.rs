//! The prompts that stand-in engines have read.

use std::collections;

/// The prompt tokens that stand-in engines have read, by request, without cached ones.
#[derive(Clone, Debug, Default)]
pub struct PrefillLedger {
    /// Tokens read by each attempt of a request.
    pub attempts: collections::BTreeMap<ids::RequestId, Vec<u64>>,
}

impl PrefillLedger {
    /// Notes a prompt that was read.
    pub(crate) fn note(&mut self, request: ids::RequestId, result: &border::PrefillResult) {
        let read = result.prompt_tokens.saturating_sub(result.cached_tokens);
        self.attempts.entry(request).or_default().push(read.into());
    }

    /// Returns all tokens that were read.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.attempts.values().flatten().sum()
    }

    /// Returns the tokens read in vain: for requests without an answer, and all repeats.
    #[must_use]
    pub fn wasted(&self, is_answered: impl Fn(ids::RequestId) -> bool) -> u64 {
        self.attempts
            .iter()
            .map(|(request, attempts)| {
                let used = if is_answered(*request) {
                    attempts.last().copied().unwrap_or(0)
                } else {
                    0
                };
                attempts.iter().sum::<u64>() - used
            })
            .sum()
    }
}
