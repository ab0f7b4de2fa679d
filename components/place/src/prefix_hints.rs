//! Estimates of which prefix blocks each engine caches.

use std::{collections, time};

use crate::keys;

/// Number of prompt tokens in one prefix block.
pub const PREFIX_BLOCK_TOKENS: u32 = 256;

/// Largest number of prefix blocks in a placement request.
pub const PREFIX_BLOCK_LIMIT: usize = 8;

/// Age at which a hint expires.
const HINT_LIFETIME: time::Duration = time::Duration::from_secs(60);

/// Largest number of blocks with hints.
const HINT_LIMIT: usize = 16_384;

/// A reported or expected copy of a block in the cache of an engine.
#[derive(Clone, Copy, Debug)]
struct BlockHint {
    engine: keys::EngineKey,
    stored_at: clock::Timestamp,
}

/// Estimates of which prefix blocks each engine caches, from delayed and incomplete events.
#[derive(Clone, Debug, Default)]
pub struct PrefixHints {
    blocks: collections::BTreeMap<u64, smallvec::SmallVec<[BlockHint; 4]>>,
}

impl PrefixHints {
    /// Records that an engine cached a block at `stored_at`; ignored while the number of blocks with
    /// hints is at its limit.
    pub fn record_stored(
        &mut self,
        engine: keys::EngineKey,
        block: u64,
        stored_at: clock::Timestamp,
    ) {
        if self.blocks.len() >= HINT_LIMIT && !self.blocks.contains_key(&block) {
            self.remove_expired(stored_at);
        }
        if self.blocks.len() >= HINT_LIMIT {
            return;
        }
        let hints = self.blocks.entry(block).or_default();
        match hints.iter_mut().find(|hint| hint.engine == engine) {
            Some(hint) => hint.stored_at = hint.stored_at.max(stored_at),
            None => hints.push(BlockHint { engine, stored_at }),
        }
    }

    /// Records that an engine evicted a block, unless a hint is later than `evicted_at`.
    pub fn record_evicted(
        &mut self,
        engine: keys::EngineKey,
        block: u64,
        evicted_at: clock::Timestamp,
    ) {
        let Some(hints) = self.blocks.get_mut(&block) else {
            return;
        };
        hints.retain(|hint| hint.engine != engine || hint.stored_at > evicted_at);
        if hints.is_empty() {
            self.blocks.remove(&block);
        }
    }

    /// Returns the expected number of leading prompt tokens that each engine has cached.
    ///
    /// The expected number decreases linearly as the hints age. Engines without a hint are omitted.
    #[must_use]
    pub fn expected_tokens(
        &self,
        now: clock::Timestamp,
        blocks: &[u64],
    ) -> smallvec::SmallVec<[(keys::EngineKey, u32); 8]> {
        // Engine, number of its leading blocks and sum of their confidences.
        let mut matches: smallvec::SmallVec<[(keys::EngineKey, usize, f64); 8]> =
            smallvec::SmallVec::new();
        for (index, block) in blocks.iter().take(PREFIX_BLOCK_LIMIT).enumerate() {
            for hint in self.blocks.get(block).into_iter().flatten() {
                let confidence = confidence(now, hint.stored_at);
                if confidence <= 0.0 {
                    continue;
                }
                match matches.iter_mut().find(|hit| hit.0 == hint.engine) {
                    Some(hit) if hit.1 == index => *hit = (hit.0, index + 1, hit.2 + confidence),
                    None if index == 0 => matches.push((hint.engine, 1, confidence)),
                    _ => {}
                }
            }
        }
        matches
            .into_iter()
            .map(|(engine, _, blocks)| (engine, to_tokens(blocks)))
            .collect()
    }

    fn remove_expired(&mut self, now: clock::Timestamp) {
        self.blocks.retain(|_, hints| {
            hints.retain(|hint| confidence(now, hint.stored_at) > 0.0);
            !hints.is_empty()
        });
    }
}

/// Returns a weight that falls linearly from 1 for a new hint to 0 or below for an expired one.
fn confidence(now: clock::Timestamp, stored_at: clock::Timestamp) -> f64 {
    let age = now.since(stored_at).as_secs_f64();
    1.0 - age / HINT_LIFETIME.as_secs_f64()
}

fn to_tokens(blocks: f64) -> u32 {
    let tokens = blocks * f64::from(PREFIX_BLOCK_TOKENS);
    tokens.max(0.0) as u32
}

/// Returns the number of prompt tokens to prefill when `cached` of them are cached; at least 1.
#[must_use]
pub const fn uncached(prompt_tokens: u32, cached: u32) -> u32 {
    let rest = prompt_tokens.saturating_sub(cached);
    if rest == 0 { 1 } else { rest }
}
