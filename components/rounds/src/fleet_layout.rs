//! Where the instances of a fleet stand.

use std::net;

/// Where the instances of a fleet stand.
#[derive(Clone, Copy, Debug, bon::Builder)]
pub struct FleetLayout {
    /// Number of instances.
    pub instances: u64,
    /// Number of regions.
    pub regions: u64,
    /// Number of data centres, spread evenly over the regions.
    pub data_centres: u64,
}

impl FleetLayout {
    /// Returns the layout of a fleet of this size: one region and three data centres while it is
    /// small, up to seven regions and fifteen data centres.
    #[must_use]
    pub const fn of_size(instances: u64) -> Self {
        let (regions, data_centres) = match instances {
            0..=16 => (1, 3),
            17..=100 => (3, 6),
            _ => (7, 15),
        };
        Self {
            instances,
            regions,
            data_centres,
        }
    }

    /// Returns the entry of the instance with this number, counted from zero.
    #[must_use]
    pub fn entry(&self, index: u64) -> border::InstanceEntry {
        let centre = index % self.data_centres;
        let region = centre % self.regions;
        let number = u32::try_from(index + 1).unwrap_or(u32::MAX);
        let address = net::Ipv4Addr::from_bits(0x0a00_0000 | number);
        border::InstanceEntry::builder()
            .id(ids::InstanceId(index + 1))
            .address(net::SocketAddr::from((address, 7_000)))
            .region(format!("region-{region}"))
            .data_centre(format!("centre-{centre}"))
            .build()
    }
}
