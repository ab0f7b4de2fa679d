//! Selects most peers in the own region.

use std::sync;

use rand::{RngExt as _, seq::IndexedRandom as _};

use crate::peer_selector;

/// One push in this many, rounded up, goes to a peer of another region.
const OTHER_REGION_PUSH_SHARE: usize = 4;

/// One comparison in this many is with a peer of another region.
const OTHER_REGION_COMPARISON_SHARE: u32 = 4;

/// Selects most peers in the own region, to limit traffic between regions, and a few in others.
#[derive(Debug, Default)]
pub struct LocalitySelector {
    same_region: Vec<ids::InstanceId>,
    other_regions: Vec<ids::InstanceId>,
}

impl peer_selector::PeerSelector for LocalitySelector {
    fn update_view(&mut self, view: &sync::Arc<member::MemberView>) {
        self.same_region.clear();
        self.other_regions.clear();
        let own = view.members.get(&view.own);
        let region = own.map(|member| &member.instance.region);
        for member in peer_selector::peers(view) {
            if Some(&member.instance.region) == region {
                self.same_region.push(member.instance.id);
            } else {
                self.other_regions.push(member.instance.id);
            }
        }
    }

    fn push_targets(
        &mut self,
        count: usize,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> Vec<ids::InstanceId> {
        let other_regions = count
            .div_ceil(OTHER_REGION_PUSH_SHARE)
            .min(self.other_regions.len());
        let same_region = (count - other_regions).min(self.same_region.len());
        let other_regions = count - same_region;
        let same_region = self.same_region.sample(random, same_region).copied();
        let mut targets: Vec<_> = same_region.collect();
        targets.extend(self.other_regions.sample(random, other_regions).copied());
        targets
    }

    fn comparison_target(
        &mut self,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> Option<ids::InstanceId> {
        let other_regions =
            random.random_ratio(1, OTHER_REGION_COMPARISON_SHARE) || self.same_region.is_empty();
        let peers = if other_regions && !self.other_regions.is_empty() {
            &self.other_regions
        } else {
            &self.same_region
        };
        peers.choose(random).copied()
    }
}
