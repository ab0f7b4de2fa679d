//! Passing claims on to other witnesses.

use std::collections;

use crate::{claim_key, held_claim, message, output, witness_rank};

/// Claims in one message of a hand-over.
const PAGE_CLAIMS: usize = 1_000;

impl super::KeyWitness {
    /// Answers a new witness with a page of the claims that it is a witness of.
    pub(super) fn recalled(
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
        let mut wanted = self
            .store
            .after(after)
            .filter(|claim| witness_rank::is_witness(claim.key, &roster, peer));
        let claims = wanted.by_ref().take(PAGE_CLAIMS).collect();
        let more = wanted.next().is_some();
        message::Message::HandOver {
            process: Some(process),
            after,
            claims,
            coverage_window: self.coverage_window(now),
            more,
        }
    }

    /// Takes in a page of claims.
    /// Hands the claims to the instances that become their witnesses once this one is gone, or to
    /// all where each instance is a witness of every key.
    ///
    /// The witness goes on answering until its process ends.
    pub fn drain(&self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        let mut roster = self.roster().to_vec();
        roster.retain(|instance| *instance != self.own);
        let mut batches: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        for claim in self.store.after(None) {
            let ranks = witness_rank::witnesses(claim.key, &roster);
            let known = if roster.len() < witness_rank::WITNESS_COUNT {
                0
            } else {
                witness_rank::WITNESS_COUNT - 1
            };
            for peer in &ranks[known..] {
                batches.entry(*peer).or_default().push(claim);
            }
        }
        for (peer, claims) in batches {
            for page in claims.chunks(PAGE_CLAIMS) {
                outputs.push(output::Output::Send(peer, self.unasked_page(now, page)));
            }
        }
    }

    fn unasked_page(
        &self,
        now: clock::Timestamp,
        claims: &[held_claim::HeldClaim],
    ) -> message::Message {
        message::Message::HandOver {
            process: None,
            after: None,
            claims: claims.to_vec(),
            coverage_window: self.coverage_window(now),
            more: false,
        }
    }
}
