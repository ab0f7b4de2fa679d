//! The prefix cache of an engine.

use std::collections;

/// The prefix cache of an engine: the blocks used last.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    limit: usize,
    /// Last use of each block.
    used: collections::BTreeMap<u64, u64>,
    /// Blocks by their last use.
    order: collections::BTreeMap<u64, u64>,
    uses: u64,
}

impl PrefixCache {
    /// Makes an empty cache of `limit` blocks.
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            used: collections::BTreeMap::new(),
            order: collections::BTreeMap::new(),
            uses: 0,
        }
    }

    /// Returns how many of the leading `blocks` are held.
    pub fn hits(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.used.contains_key(block))
            .count()
    }

    /// Stores `blocks`; returns the changes, each with whether the block was stored.
    pub fn store(&mut self, blocks: &[u64]) -> Vec<(u64, bool)> {
        let mut changes = Vec::new();
        for block in blocks.iter().rev() {
            if self.touch(*block) {
                changes.push((*block, true));
            }
        }
        while self.used.len() > self.limit {
            let Some((_, block)) = self.order.pop_first() else {
                break;
            };
            self.used.remove(&block);
            changes.push((block, false));
        }
        changes
    }

    /// Marks a block as used; returns whether it is new.
    fn touch(&mut self, block: u64) -> bool {
        self.uses += 1;
        let earlier = self.used.insert(block, self.uses);
        if let Some(earlier) = earlier {
            self.order.remove(&earlier);
        }
        self.order.insert(self.uses, block);
        earlier.is_none()
    }
}
