//! Which instances watch the configuration service.

use std::collections;

/// Readers of the whole fleet, as long as it has fewer regions than that.
const FLEET_READERS: usize = 4;

/// Returns whether the instance that holds `view` is to watch the configuration service.
///
/// Each region has the same number of readers: the ones that a rendezvous hash ranks first. The
/// more regions, the fewer in each, at least one, so that the calls to the service don't grow
/// with the fleet.
pub(crate) fn is_reader(view: &member::MemberView) -> bool {
    let Some(own) = view.members.get(&view.own) else {
        return false;
    };
    let regions: collections::BTreeSet<_> = view
        .usable()
        .map(|member| &member.instance.region)
        .collect();
    let wanted = FLEET_READERS.div_ceil(regions.len().max(1));
    let own_rank = rank(own.instance.id);
    let ahead = view
        .usable()
        .filter(|member| member.instance.region == own.instance.region)
        .filter(|member| rank(member.instance.id) > own_rank)
        .count();
    view.is_alive(view.own) && ahead < wanted
}

/// Returns the rank of an instance; larger goes first.
fn rank(instance: ids::InstanceId) -> (u64, ids::InstanceId) {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&instance.0.to_le_bytes(), 1);
    (hash, instance)
}
