//! The directory of cells that an entry instance uses to select the cell of a request.

use std::{collections, sync};

/// Owner of a cell and its incarnation, which changes when the owner's process restarts.
type OwnerProcess = (ids::InstanceId, ids::Incarnation);

/// The cells with their owners and their last received free capacity, for an entry instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct CellDirectory {
    cells: place::CellMap,
    owners: collections::BTreeMap<ids::CellId, OwnerProcess>,
    capacity: collections::BTreeMap<ids::CellId, place::CapacityAdvert>,
    view: sync::Arc<member::MemberView>,
    members: place::RegionMembers,
}

impl CellDirectory {
    /// Updates the cells from the state in force; returns the cells with a new owner.
    pub(crate) fn update_state(
        &mut self,
        state: &sync::Arc<note::StateInForce>,
    ) -> Vec<ids::CellId> {
        if !self.cells.update(state) {
            return Vec::new();
        }
        self.refresh_owners()
    }

    /// Updates the owners from a view of the membership; returns the cells with a new owner.
    pub(crate) fn update_view(&mut self, view: sync::Arc<member::MemberView>) -> Vec<ids::CellId> {
        self.members = place::RegionMembers::of(&view);
        self.view = view;
        self.refresh_owners()
    }

    /// Stores free capacity received from the owners of cells.
    pub(crate) fn update_capacity(&mut self, adverts: Vec<place::CapacityAdvert>) {
        for advert in adverts {
            self.capacity.insert(advert.cell, advert);
        }
    }

    /// Returns the owner of a cell.
    pub(crate) fn owner(&self, cell: ids::CellId) -> Option<ids::InstanceId> {
        self.owners.get(&cell).map(|(instance, _)| *instance)
    }

    /// Returns the best cell for a model, except those in `excluded`, and its owner.
    ///
    /// Cells of the own region are preferred, then cells that are not reported full, then the
    /// shorter prefill wait. The request's id distributes requests over otherwise equal cells.
    pub(crate) fn select(
        &self,
        model: &ids::ModelName,
        request: ids::RequestId,
        excluded: &[ids::CellId],
    ) -> Option<(ids::CellId, ids::InstanceId)> {
        self.cells
            .for_model(model)
            .map(|cell| cell.id)
            .filter(|cell| !excluded.contains(cell))
            .filter_map(|cell| self.owner(cell).map(|owner| (cell, owner)))
            .min_by_key(|(cell, _)| self.selection_key(*cell, request))
    }

    fn selection_key(&self, cell: ids::CellId, request: ids::RequestId) -> (bool, bool, u32, u128) {
        let capacity = self.capacity.get(&cell);
        let is_full = capacity.is_some_and(|capacity| capacity.free_slots == 0);
        let wait = capacity.map_or(0, |capacity| capacity.prefill_wait_ms);
        let tie_breaker = request.0 ^ (u128::from(cell.0) | (u128::from(cell.0) << 64));
        (!self.is_in_own_region(cell), is_full, wait, tie_breaker)
    }

    fn is_in_own_region(&self, cell: ids::CellId) -> bool {
        let own = self.view.members.get(&self.view.own);
        let region = self.cells.get(cell).map(|cell| &cell.region);
        own.is_some_and(|own| Some(&own.instance.region) == region)
    }

    fn refresh_owners(&mut self) -> Vec<ids::CellId> {
        let owners: collections::BTreeMap<ids::CellId, OwnerProcess> = self
            .cells
            .cells()
            .values()
            .filter_map(|cell| {
                let owner = self.members.owner(cell)?;
                let incarnation = self.view.members.get(&owner)?.incarnation;
                Some((cell.id, (owner, incarnation)))
            })
            .collect();
        let changed = owners
            .iter()
            .filter(|(cell, owner)| self.owners.get(cell) != Some(owner))
            .map(|(cell, _)| *cell)
            .collect();
        self.owners = owners;
        changed
    }
}
