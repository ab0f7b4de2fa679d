//! Selects peers uniformly at random.

use std::sync;

use rand::seq::IndexedRandom as _;

use crate::peer_selector;

/// Selects peers uniformly at random.
#[derive(Debug, Default)]
pub struct UniformSelector {
    peers: Vec<ids::InstanceId>,
}

impl peer_selector::PeerSelector for UniformSelector {
    fn update_view(&mut self, view: &sync::Arc<member::MemberView>) {
        self.peers = peer_selector::peers(view)
            .map(|member| member.instance.id)
            .collect();
    }

    fn push_targets(
        &mut self,
        count: usize,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> Vec<ids::InstanceId> {
        self.peers.sample(random, count).copied().collect()
    }

    fn comparison_target(
        &mut self,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> Option<ids::InstanceId> {
        self.peers.choose(random).copied()
    }
}
