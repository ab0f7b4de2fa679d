//! Chooses peers that a ranking function puts first.

use std::{cmp, sync};

use rand::seq::IndexedRandom as _;

use crate::peer_selector;

/// Peers among which ranked choices are made.
const RANKED_PEERS: usize = 10;

/// One push in this many goes to any peer, so that the graph stays connected.
const RANDOM_SHARE: usize = 4;

/// Chooses peers that a ranking function puts first, and a few at random.
///
/// The ranking is the distance on a ring of hashed ids, nearer data centres and regions first,
/// as T-Man ranks neighbours. The membership is known whole here, so the ranking is computed
/// from it rather than found by gossip.
#[derive(Debug, Default)]
pub struct RankedSelector {
    ranked: Vec<ids::InstanceId>,
    all: Vec<ids::InstanceId>,
}

impl peer_selector::PeerSelector for RankedSelector {
    fn take_view(&mut self, view: &sync::Arc<member::MemberView>) {
        let Some(own) = view.members.get(&view.own) else {
            return;
        };
        let mut peers: Vec<_> = peer_selector::peers(view).collect();
        self.all = peers.iter().map(|member| member.instance.id).collect();
        let ring = ring_place(own.instance.id);
        peers.sort_by_key(|member| {
            let near = cmp::Reverse(nearness(&own.instance, &member.instance));
            let distance = ring_place(member.instance.id).wrapping_sub(ring);
            (near, distance.min(distance.wrapping_neg()))
        });
        peers.truncate(RANKED_PEERS);
        self.ranked = peers.iter().map(|member| member.instance.id).collect();
    }

    fn push_targets(
        &mut self,
        count: usize,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> Vec<ids::InstanceId> {
        let anywhere = count.div_ceil(RANDOM_SHARE);
        let ranked = self.ranked.sample(random, count - anywhere).copied();
        let mut targets: Vec<_> = ranked.collect();
        for peer in self.all.sample(random, count) {
            if targets.len() < count && !targets.contains(peer) {
                targets.push(*peer);
            }
        }
        targets
    }

    fn compare_target(&mut self, random: &mut rand_chacha::ChaCha8Rng) -> Option<ids::InstanceId> {
        self.all.choose(random).copied()
    }
}

/// Returns the place of an instance on the ring.
fn ring_place(instance: ids::InstanceId) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&instance.0.to_le_bytes())
}

fn nearness(own: &border::InstanceEntry, other: &border::InstanceEntry) -> u8 {
    u8::from(own.region == other.region) + u8::from(own.data_centre == other.data_centre)
}
