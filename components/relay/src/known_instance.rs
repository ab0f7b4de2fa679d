//! Address, data centre and capacity of an instance.

use std::{cmp, net};

/// Address, data centre and capacity of an instance, by which the instances agree on those that
/// forward state updates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownInstance {
    /// Address of the instance.
    pub address: net::Ipv4Addr,
    /// Hash of the name of its data centre, 0 if unknown.
    pub data_centre: u32,
    /// Capacity for forwarding relative to other instances; 0 for a process that has just started.
    pub capacity: u32,
}

impl KnownInstance {
    /// Returns the order of the instances of a data centre: those with the largest capacity first.
    #[must_use]
    pub const fn rank(&self) -> (cmp::Reverse<u32>, net::Ipv4Addr) {
        (cmp::Reverse(self.capacity), self.address)
    }
}

/// Returns the hash that identifies a data centre in state updates; never 0.
#[must_use]
pub fn data_centre_hash(name: &ids::DataCentreName) -> u32 {
    let [_, _, _, _, bytes @ ..] =
        xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes()).to_be_bytes();
    u32::from_be_bytes(bytes).max(1)
}
