//! Selection of the readers, the instances that watch the configuration service.

use std::collections;

/// Minimum number of readers in the fleet, divided among the regions and rounded up to the same
/// number in each.
const FLEET_READERS: usize = 4;

/// Returns whether the instance that holds `view` watches the configuration service.
///
/// Each region has the same number of readers, at least one, selected by rendezvous hashing. The
/// number per region shrinks with the number of regions, so that the load on the service doesn't
/// grow with the fleet.
pub(crate) fn is_reader(view: &member::MemberView) -> bool {
    let Some(own) = view.members.get(&view.own) else {
        return false;
    };
    let regions: collections::BTreeSet<_> = view
        .usable()
        .map(|member| &member.instance.region)
        .collect();
    let readers = FLEET_READERS.div_ceil(regions.len().max(1));
    let own_rank = rank(own.instance.id);
    let higher_ranked = view
        .usable()
        .filter(|member| member.instance.region == own.instance.region)
        .filter(|member| rank(member.instance.id) > own_rank)
        .count();
    view.is_alive(view.own) && higher_ranked < readers
}

/// Returns the rendezvous rank of an instance; the largest ranks become readers.
fn rank(instance: ids::InstanceId) -> (u64, ids::InstanceId) {
    // The 1 is the seed of the hash; another seed selects other readers.
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&instance.0.to_le_bytes(), 1);
    (hash, instance)
}
