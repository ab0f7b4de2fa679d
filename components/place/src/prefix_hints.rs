//! Which engines are believed to cache which prefix blocks.

use std::{collections, time};

use crate::keys;

/// Prompt tokens in one prefix block.
pub const PREFIX_BLOCK_TOKENS: u32 = 256;

/// Largest number of prefix blocks that an ask names.
pub const PREFIX_BLOCK_LIMIT: usize = 8;

/// Age at which a hint is forgotten.
const HINT_LIFE: time::Duration = time::Duration::from_secs(60);

/// Blocks that hints are kept for.
const HINT_LIMIT: usize = 16_384;

/// One engine's holding of a block.
#[derive(Clone, Copy, Debug)]
struct BlockHint {
    engine: keys::EngineKey,
    heard_at: clock::Timestamp,
}

/// Which engines are believed to cache which prefix blocks; late and incomplete.
#[derive(Clone, Debug, Default)]
pub struct PrefixHints {
    blocks: collections::BTreeMap<u64, smallvec::SmallVec<[BlockHint; 4]>>,
}

impl PrefixHints {
    /// Notes that an engine holds a block, as of `heard_at`.
    pub fn note_stored(&mut self, engine: keys::EngineKey, block: u64, heard_at: clock::Timestamp) {
        if self.blocks.len() >= HINT_LIMIT && !self.blocks.contains_key(&block) {
            self.forget_old(heard_at);
        }
        if self.blocks.len() >= HINT_LIMIT {
            return;
        }
        let hints = self.blocks.entry(block).or_default();
        match hints.iter_mut().find(|hint| hint.engine == engine) {
            Some(hint) => hint.heard_at = hint.heard_at.max(heard_at),
            None => hints.push(BlockHint { engine, heard_at }),
        }
    }

    /// Notes that an engine dropped a block, unless it was heard to hold it later.
    pub fn note_evicted(
        &mut self,
        engine: keys::EngineKey,
        block: u64,
        evicted_at: clock::Timestamp,
    ) {
        let Some(hints) = self.blocks.get_mut(&block) else {
            return;
        };
        hints.retain(|hint| hint.engine != engine || hint.heard_at > evicted_at);
        if hints.is_empty() {
            self.blocks.remove(&block);
        }
    }

    /// Returns the leading tokens of a prompt that each engine is expected to have cached.
    ///
    /// The expectation shrinks as the hints age. Engines without a hint are left out.
    #[must_use]
    pub fn expected_tokens(
        &self,
        now: clock::Timestamp,
        blocks: &[u64],
    ) -> smallvec::SmallVec<[(keys::EngineKey, u32); 8]> {
        let mut runs: smallvec::SmallVec<[(keys::EngineKey, usize, f64); 8]> =
            smallvec::SmallVec::new();
        for (index, block) in blocks.iter().take(PREFIX_BLOCK_LIMIT).enumerate() {
            for hint in self.blocks.get(block).into_iter().flatten() {
                let trust = trust(now, hint.heard_at);
                if trust <= 0.0 {
                    continue;
                }
                match runs.iter_mut().find(|run| run.0 == hint.engine) {
                    Some(run) if run.1 == index => *run = (run.0, index + 1, run.2 + trust),
                    None if index == 0 => runs.push((hint.engine, 1, trust)),
                    _ => {}
                }
            }
        }
        runs.into_iter()
            .map(|(engine, _, blocks)| (engine, whole_tokens(blocks)))
            .collect()
    }

    fn forget_old(&mut self, now: clock::Timestamp) {
        self.blocks.retain(|_, hints| {
            hints.retain(|hint| trust(now, hint.heard_at) > 0.0);
            !hints.is_empty()
        });
    }
}

fn trust(now: clock::Timestamp, heard_at: clock::Timestamp) -> f64 {
    let age = now.since(heard_at).as_secs_f64();
    1.0 - age / HINT_LIFE.as_secs_f64()
}

fn whole_tokens(blocks: f64) -> u32 {
    let tokens = blocks * f64::from(PREFIX_BLOCK_TOKENS);
    tokens.max(0.0) as u32
}

/// Returns the tokens of a prompt that must be read when `cached` of them are cached.
#[must_use]
pub const fn uncached(prompt_tokens: u32, cached: u32) -> u32 {
    let rest = prompt_tokens.saturating_sub(cached);
    if rest == 0 { 1 } else { rest }
}
