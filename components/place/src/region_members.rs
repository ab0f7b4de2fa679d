//! The usable instances by region, which determine the owners of cells.

use std::collections;

use xxhash_rust::xxh3;

use crate::cell;

/// An instance that may own cells.
#[derive(Clone, Debug)]
struct UsableMember {
    id: ids::InstanceId,
    data_centre: ids::DataCentreName,
}

/// The instances that may own cells, by region; computed once for each view.
#[derive(Clone, Debug, Default)]
pub struct RegionMembers {
    regions: collections::BTreeMap<ids::RegionName, Vec<UsableMember>>,
}

impl RegionMembers {
    /// Groups the usable instances of a view by region.
    #[must_use]
    pub fn of(view: &member::MemberView) -> Self {
        let mut regions: collections::BTreeMap<ids::RegionName, Vec<UsableMember>> =
            collections::BTreeMap::new();
        for member in view.usable() {
            let instance = &member.instance;
            regions
                .entry(instance.region.clone())
                .or_default()
                .push(UsableMember {
                    id: instance.id,
                    data_centre: instance.data_centre.clone(),
                });
        }
        Self { regions }
    }

    /// Returns the instance that owns `cell`.
    ///
    /// The owner has the highest rendezvous hash among the usable instances in the cell's data
    /// centre, or in its region if that data centre has none.
    #[must_use]
    pub fn owner(&self, cell: &cell::Cell) -> Option<ids::InstanceId> {
        self.regions
            .get(&cell.region)?
            .iter()
            .max_by_key(|member| {
                let in_data_centre = member.data_centre == cell.data_centre;
                let number = member.id.0.to_le_bytes();
                (in_data_centre, xxh3::xxh3_64_with_seed(&number, cell.id.0))
            })
            .map(|member| member.id)
    }
}
