//! What the planners of all owned cells share.

use std::sync;

use rand::RngExt as _;

use crate::{entry_news, output, policy_kind};

/// What the planners of all owned cells share.
pub struct OwnerContext {
    /// This instance.
    pub own: ids::InstanceId,
    /// State in force.
    pub state: sync::Arc<note::StateInForce>,
    /// Membership.
    pub view: sync::Arc<member::MemberView>,
    /// What is heard of the entry instances.
    pub news: entry_news::EntryNews,
    /// Policy that new planners get.
    pub policy: policy_kind::PolicyKind,
    /// Source of terms and seeds.
    pub random: rand_chacha::ChaCha8Rng,
}

impl OwnerContext {
    /// Returns a number for a term or a seed, short in messages.
    pub fn draw(&mut self) -> u64 {
        u64::from(self.random.random::<u32>())
    }

    /// Asks an instance for its claims, unless that was done just now.
    pub fn want_claims(
        &mut self,
        now: clock::Timestamp,
        cell: ids::CellId,
        entry: ids::InstanceId,
        outputs: &mut Vec<output::Output>,
    ) {
        if self.news.ask_claims(now, cell, entry) {
            let message = crate::Message::WantClaims(cell);
            outputs.push(output::Output::Send(entry, message));
        }
    }
}
