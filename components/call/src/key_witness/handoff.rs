//! Transfer of claims to other witnesses.

use std::collections;

use crate::{claim_key, held_claim, message, output, witness_rank};

/// Largest number of claims in one handoff message.
const PAGE_SIZE: usize = 1_000;

impl super::KeyWitness {
    /// Returns a page of the claims for which `peer` is a witness, as the answer to its recovery
    /// request.
    pub(super) fn recovery_page(
        &self,
        now: clock::Timestamp,
        peer: ids::InstanceId,
        process: ids::Incarnation,
        after: Option<claim_key::ClaimKey>,
    ) -> message::Message {
        let mut roster = self.roster().to_vec();
        if !roster.contains(&peer) {
            roster.push(peer);
        }
        let mut requested = self
            .store
            .claims_after(after)
            .filter(|claim| witness_rank::is_witness(claim.key, &roster, peer));
        let claims = requested.by_ref().take(PAGE_SIZE).collect();
        let more = requested.next().is_some();
        message::Message::HandOver {
            process: Some(process),
            after,
            claims,
            coverage_window: self.witness_coverage(now),
            more,
        }
    }

    /// Sends the claims to the instances that become their witnesses after this instance stops, or
    /// to all instances when each of them is a witness of every key.
    ///
    /// The witness continues to answer claims until its process ends.
    pub fn hand_over_claims(&self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        let mut roster = self.roster().to_vec();
        roster.retain(|instance| *instance != self.own);
        let mut batches: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        for claim in self.store.claims_after(None) {
            let witnesses = witness_rank::witnesses(claim.key, &roster);
            // With at least `WITNESS_COUNT` other instances, the highest-ranked ones are already
            // witnesses of the key.
            let holder_count = if roster.len() < witness_rank::WITNESS_COUNT {
                0
            } else {
                witness_rank::WITNESS_COUNT - 1
            };
            for peer in &witnesses[holder_count..] {
                batches.entry(*peer).or_default().push(claim);
            }
        }
        for (peer, claims) in batches {
            for page in claims.chunks(PAGE_SIZE) {
                outputs.push(output::Output::Send(peer, self.unsolicited_page(now, page)));
            }
        }
    }

    fn unsolicited_page(
        &self,
        now: clock::Timestamp,
        claims: &[held_claim::HeldClaim],
    ) -> message::Message {
        message::Message::HandOver {
            process: None,
            after: None,
            claims: claims.to_vec(),
            coverage_window: self.witness_coverage(now),
            more: false,
        }
    }
}
