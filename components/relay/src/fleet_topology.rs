//! Paths of state updates between the instances of a fleet.
//!
//! In a small fleet each instance sends its updates to all others. In a larger one it sends them to
//! a forwarder in its data centre, which sends the updates of all instances to those of the data
//! centre and those of the data centre to the forwarders of the others. The number of datagrams
//! that an instance sends and receives then doesn't grow with the fleet.

use std::{collections, net};

use crate::known_instance;

/// Largest number of instances that send their updates directly to each other.
const DIRECT_FLEET_INSTANCES: usize = 24;

/// Instances of a data centre that receive the updates of its instances: the forwarder, and the one
/// that takes over when the forwarder fails.
pub const FORWARDERS_PER_CENTRE: usize = 2;

/// Instances of a fleet by data centre, in the order in which they become forwarders.
#[derive(Clone, Debug, Default)]
pub struct FleetTopology {
    centres: collections::BTreeMap<u32, Vec<known_instance::KnownInstance>>,
    instances: usize,
}

impl FleetTopology {
    /// Creates the topology of a fleet.
    #[must_use]
    pub fn new(instances: impl IntoIterator<Item = known_instance::KnownInstance>) -> Self {
        let mut topology = Self::default();
        for instance in instances {
            let centre = topology.centres.entry(instance.data_centre).or_default();
            centre.push(instance);
            topology.instances += 1;
        }
        for centre in topology.centres.values_mut() {
            centre.sort_unstable_by_key(known_instance::KnownInstance::rank);
        }
        topology
    }

    /// Returns whether all instances send their updates directly to each other.
    #[must_use]
    pub const fn is_direct(&self) -> bool {
        self.instances <= DIRECT_FLEET_INSTANCES
    }

    /// Returns the instances of a data centre in the order in which they become forwarders.
    pub fn members(&self, data_centre: u32) -> impl Iterator<Item = net::Ipv4Addr> {
        self.centre(data_centre)
            .iter()
            .map(|instance| instance.address)
    }

    /// Returns the first instances of each data centre but one, which forward updates there.
    pub fn forwarders_elsewhere(&self, data_centre: u32) -> impl Iterator<Item = net::Ipv4Addr> {
        self.centres
            .iter()
            .filter(move |(centre, _)| **centre != data_centre)
            .flat_map(|(centre, instances)| {
                // Instances of an unknown data centre don't know of forwarders.
                let count = if *centre == 0 {
                    instances.len()
                } else {
                    FORWARDERS_PER_CENTRE
                };
                instances.iter().take(count)
            })
            .map(|instance| instance.address)
    }

    /// Returns the position of an instance in the order of its data centre, or the number of
    /// instances there if it isn't one of them.
    #[must_use]
    pub fn position(&self, data_centre: u32, address: net::Ipv4Addr) -> usize {
        let centre = self.centre(data_centre);
        let found = centre
            .iter()
            .position(|instance| instance.address == address);
        found.unwrap_or(centre.len())
    }

    /// Returns the number of instances.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.instances
    }

    /// Returns whether there are no instances.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.instances == 0
    }

    /// Returns the rank of an instance among the readers of the platform's store: the first
    /// instances of all data centres come first, then the second ones, and so on. An unknown
    /// instance comes last.
    #[must_use]
    pub fn reader_rank(&self, address: net::Ipv4Addr) -> usize {
        let mut ranks: Vec<(usize, net::Ipv4Addr)> = self
            .centres
            .values()
            .flat_map(|centre| {
                let members = centre.iter().enumerate();
                members.map(|(position, instance)| (position, instance.address))
            })
            .collect();
        ranks.sort_unstable();
        let found = ranks.iter().position(|(_, other)| *other == address);
        found.unwrap_or(ranks.len())
    }

    /// Returns the instances of all data centres.
    pub fn instances(&self) -> impl Iterator<Item = &known_instance::KnownInstance> {
        self.centres.values().flatten()
    }

    fn centre(&self, data_centre: u32) -> &[known_instance::KnownInstance] {
        self.centres.get(&data_centre).map_or(&[], Vec::as_slice)
    }
}
