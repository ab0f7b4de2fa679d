//! Selects the peers that a ranking function places first.

use std::{cmp, sync};

use rand::seq::IndexedRandom as _;

use crate::peer_selector;

/// Number of best-ranked peers to select from.
const RANKED_PEERS: usize = 10;

/// The number of pushes divided by this value, rounded up, goes to random peers, so that the gossip
/// graph stays connected.
const RANDOM_PUSH_DIVISOR: usize = 4;

/// Selects the peers that a ranking function places first, and a few at random.
///
/// As in T-Man, peers are ranked by their distance on a ring of hashed ids, peers of the same data
/// centre and region first. Each instance has the complete membership, so it computes the ranking
/// locally instead of discovering it by gossip.
#[derive(Debug, Default)]
pub struct RankedSelector {
    ranked: Vec<ids::InstanceId>,
    all: Vec<ids::InstanceId>,
}

impl peer_selector::PeerSelector for RankedSelector {
    fn update_view(&mut self, view: &sync::Arc<member::MemberView>) {
        let Some(own) = view.members.get(&view.own) else {
            return;
        };
        let mut peers: Vec<_> = peer_selector::peers(view).collect();
        self.all = peers.iter().map(|member| member.instance.id).collect();
        let own_position = ring_position(own.instance.id);
        peers.sort_by_key(|member| {
            let proximity = cmp::Reverse(proximity(&own.instance, &member.instance));
            let distance = ring_position(member.instance.id).wrapping_sub(own_position);
            (proximity, distance.min(distance.wrapping_neg()))
        });
        peers.truncate(RANKED_PEERS);
        self.ranked = peers.iter().map(|member| member.instance.id).collect();
    }

    fn push_targets(
        &mut self,
        count: usize,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> Vec<ids::InstanceId> {
        let random_count = count.div_ceil(RANDOM_PUSH_DIVISOR);
        let ranked = self.ranked.sample(random, count - random_count).copied();
        let mut targets: Vec<_> = ranked.collect();
        for peer in self.all.sample(random, count) {
            if targets.len() < count && !targets.contains(peer) {
                targets.push(*peer);
            }
        }
        targets
    }

    fn comparison_target(
        &mut self,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> Option<ids::InstanceId> {
        self.all.choose(random).copied()
    }
}

/// Returns the position of an instance on the ring of hashed ids.
fn ring_position(instance: ids::InstanceId) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&instance.0.to_le_bytes())
}

/// Returns 2 for the same region and data centre, 1 when only one of them matches, 0 otherwise.
fn proximity(own: &border::InstanceEntry, other: &border::InstanceEntry) -> u8 {
    u8::from(own.region == other.region) + u8::from(own.data_centre == other.data_centre)
}
