//! Selects most peers in the own region.

use std::sync;

use rand::{RngExt as _, seq::IndexedRandom as _};

use crate::peer_selector;

/// The number of pushes divided by this value, rounded up, goes to peers of other regions.
const OTHER_REGION_PUSH_DIVISOR: usize = 4;

/// A comparison is with a peer of another region with a probability of one divided by this value.
const OTHER_REGION_COMPARISON_DIVISOR: u32 = 4;

/// Selects most peers in the own region and a few in other regions.
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
        let other_region_min = count
            .div_ceil(OTHER_REGION_PUSH_DIVISOR)
            .min(self.other_regions.len());
        let same_region_count = (count - other_region_min).min(self.same_region.len());
        let other_region_count = count - same_region_count;
        let same_region = self.same_region.sample(random, same_region_count).copied();
        let mut targets: Vec<_> = same_region.collect();
        let other_regions = self.other_regions.sample(random, other_region_count);
        targets.extend(other_regions.copied());
        targets
    }

    fn comparison_target(
        &mut self,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> Option<ids::InstanceId> {
        let in_other_region =
            random.random_ratio(1, OTHER_REGION_COMPARISON_DIVISOR) || self.same_region.is_empty();
        let peers = if in_other_region && !self.other_regions.is_empty() {
            &self.other_regions
        } else {
            &self.same_region
        };
        peers.choose(random).copied()
    }
}
