//! Chooses most peers in the own data centre and region.

use std::sync;

use rand::{RngExt as _, seq::IndexedRandom as _};

use crate::peer_selector;

/// One push in this many goes to any peer of the fleet.
const FAR_SHARE: usize = 4;

/// One comparison in this many is with any peer of the fleet.
const FAR_COMPARISONS: u32 = 4;

/// Chooses most peers in the own region and the others anywhere.
#[derive(Debug, Default)]
pub struct LocalitySelector {
    near: Vec<ids::InstanceId>,
    far: Vec<ids::InstanceId>,
}

impl peer_selector::PeerSelector for LocalitySelector {
    fn take_view(&mut self, view: &sync::Arc<member::MemberView>) {
        self.near.clear();
        self.far.clear();
        let own = view.members.get(&view.own);
        let region = own.map(|member| &member.instance.region);
        for member in peer_selector::peers(view) {
            if Some(&member.instance.region) == region {
                self.near.push(member.instance.id);
            } else {
                self.far.push(member.instance.id);
            }
        }
    }

    fn push_targets(
        &mut self,
        count: usize,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> Vec<ids::InstanceId> {
        let far = count.div_ceil(FAR_SHARE).min(self.far.len());
        let near = (count - far).min(self.near.len());
        let far = count - near;
        let near = self.near.sample(random, near).copied();
        let mut targets: Vec<_> = near.collect();
        targets.extend(self.far.sample(random, far).copied());
        targets
    }

    fn compare_target(&mut self, random: &mut rand_chacha::ChaCha8Rng) -> Option<ids::InstanceId> {
        let far = random.random_ratio(1, FAR_COMPARISONS) || self.near.is_empty();
        let peers = if far && !self.far.is_empty() {
            &self.far
        } else {
            &self.near
        };
        peers.choose(random).copied()
    }
}
