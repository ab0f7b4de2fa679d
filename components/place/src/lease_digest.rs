//! An order-independent digest of a set of leases.

use xxhash_rust::xxh3;

/// A digest of the leases that an entry instance holds in a cell.
///
/// The digest of a set of leases does not depend on their order.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LeaseDigest {
    /// Number of leases.
    pub count: u32,
    /// Wrapping sum of the hashes of the lease ids.
    pub sum: u64,
}

impl LeaseDigest {
    /// Adds a lease.
    pub fn add(&mut self, lease: ids::LeaseId) {
        let fields = [lease.owner.0, lease.term, lease.sequence];
        let bytes = fields.map(u64::to_le_bytes).concat();
        self.count += 1;
        self.sum = self.sum.wrapping_add(xxh3::xxh3_64(&bytes));
    }
}

impl FromIterator<ids::LeaseId> for LeaseDigest {
    fn from_iter<Leases: IntoIterator<Item = ids::LeaseId>>(leases: Leases) -> Self {
        let mut digest = Self::default();
        for lease in leases {
            digest.add(lease);
        }
        digest
    }
}
