//! State that the planners of all owned cells share.

use std::sync;

use rand::RngExt as _;

use crate::{entry_updates, output, policy_kind};

/// State that the planners of all owned cells share.
pub struct OwnerContext {
    /// Id of this instance.
    pub own: ids::InstanceId,
    /// State in force.
    pub state: sync::Arc<note::StateInForce>,
    /// Membership view.
    pub view: sync::Arc<member::MemberView>,
    /// Times of the last messages exchanged with the entry instances.
    pub entry_updates: entry_updates::EntryUpdates,
    /// Policy of new planners.
    pub policy: policy_kind::PolicyKind,
    /// Random source of terms and seeds.
    pub random: rand_chacha::ChaCha8Rng,
}

impl OwnerContext {
    /// Returns a random term or seed; 32 bits keep it short in messages.
    pub fn draw(&mut self) -> u64 {
        u64::from(self.random.random::<u32>())
    }

    /// Requests the claims of an instance, unless they were requested within the last second.
    pub fn request_claims(
        &mut self,
        now: clock::Timestamp,
        cell: ids::CellId,
        entry: ids::InstanceId,
        outputs: &mut Vec<output::Output>,
    ) {
        if self.entry_updates.start_claim_request(now, cell, entry) {
            let message = crate::Message::RequestClaims(cell);
            outputs.push(output::Output::Send(entry, message));
        }
    }
}
