//! Which instances are the witnesses of a key.

use std::collections;

use crate::claim_key;

/// Number of witnesses of a key, where the region has as many instances.
pub const WITNESS_COUNT: usize = 7;

/// Returns the instances of each region, which can be witnesses, silent and leaving ones included.
///
/// A silent instance may live on the other side of a partition, and one that leaves may come back
/// as a new process, so both stay until the membership drops them.
pub fn rosters(
    view: &member::MemberView,
) -> collections::BTreeMap<ids::RegionName, Vec<ids::InstanceId>> {
    let mut rosters: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
    for (instance, member) in &view.members {
        let region = &member.instance.region;
        match rosters.get_mut(region) {
            Some(roster) => roster.push(*instance),
            None => drop(rosters.insert(region.clone(), vec![*instance])),
        }
    }
    rosters
}

/// Returns the witnesses of `key`, best rank first.
pub fn witnesses(key: claim_key::ClaimKey, roster: &[ids::InstanceId]) -> Vec<ids::InstanceId> {
    let mut ranks: Vec<_> = roster
        .iter()
        .map(|instance| (score(key, *instance), *instance))
        .collect();
    ranks.sort_unstable_by(|left, right| right.cmp(left));
    ranks.truncate(WITNESS_COUNT);
    ranks.into_iter().map(|(_, instance)| instance).collect()
}

/// Returns whether `instance` is one of the witnesses of `key`.
pub fn is_witness(
    key: claim_key::ClaimKey,
    roster: &[ids::InstanceId],
    instance: ids::InstanceId,
) -> bool {
    let own = (score(key, instance), instance);
    let better = roster
        .iter()
        .filter(|other| (score(key, **other), **other) > own)
        .count();
    better < WITNESS_COUNT && roster.contains(&instance)
}

fn score(key: claim_key::ClaimKey, instance: ids::InstanceId) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&key.0.to_le_bytes(), instance.0)
}
