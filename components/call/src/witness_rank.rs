//! Selection of the witnesses of a key by rendezvous hashing.

use std::collections;

use crate::claim_key;

/// Number of witnesses of a key in a region with at least as many instances.
pub const WITNESS_COUNT: usize = 7;

/// Returns the instances of each region, including suspect and draining instances.
///
/// A suspect instance may be running on the other side of a partition, and a draining instance may
/// restart as a new process. Both remain witnesses until the membership removes them.
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

/// Returns the witnesses of `key`, in descending order of rank.
pub fn witnesses(key: claim_key::ClaimKey, roster: &[ids::InstanceId]) -> Vec<ids::InstanceId> {
    let mut ranking: Vec<_> = roster
        .iter()
        .map(|instance| (score(key, *instance), *instance))
        .collect();
    ranking.sort_unstable_by(|left, right| right.cmp(left));
    ranking.truncate(WITNESS_COUNT);
    ranking.into_iter().map(|(_, instance)| instance).collect()
}

/// Returns whether `instance` is one of the witnesses of `key`.
pub fn is_witness(
    key: claim_key::ClaimKey,
    roster: &[ids::InstanceId],
    instance: ids::InstanceId,
) -> bool {
    let own = (score(key, instance), instance);
    let higher_ranked = roster
        .iter()
        .filter(|other| (score(key, **other), **other) > own)
        .count();
    higher_ranked < WITNESS_COUNT && roster.contains(&instance)
}

fn score(key: claim_key::ClaimKey, instance: ids::InstanceId) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&key.0.to_le_bytes(), instance.0)
}
