//! The cells, their owners and their spare capacity, as an entry instance knows them.

use std::{collections, sync};

/// Owner of a cell and the process of it that was last seen.
type OwnerProcess = (ids::InstanceId, ids::Incarnation);

/// The cells, their owners and their spare capacity, as an entry instance knows them.
#[derive(Clone, Debug, Default)]
pub(crate) struct CellBoard {
    cells: place::CellMap,
    owners: collections::BTreeMap<ids::CellId, OwnerProcess>,
    spare: collections::BTreeMap<ids::CellId, place::CapacityAdvert>,
    view: sync::Arc<member::MemberView>,
    members: place::RegionMembers,
}

impl CellBoard {
    /// Takes the cells of a state in force; returns the cells with a new owner.
    pub(crate) fn take_state(&mut self, state: &sync::Arc<note::StateInForce>) -> Vec<ids::CellId> {
        if !self.cells.update(state) {
            return Vec::new();
        }
        self.refresh_owners()
    }

    /// Takes a view of the membership; returns the cells with a new owner.
    pub(crate) fn take_view(&mut self, view: sync::Arc<member::MemberView>) -> Vec<ids::CellId> {
        self.members = place::RegionMembers::of(&view);
        self.view = view;
        self.refresh_owners()
    }

    /// Takes spare capacity that owners told.
    pub(crate) fn take_spare(&mut self, adverts: Vec<place::CapacityAdvert>) {
        for advert in adverts {
            self.spare.insert(advert.cell, advert);
        }
    }

    /// Returns the owner of a cell.
    pub(crate) fn owner(&self, cell: ids::CellId) -> Option<ids::InstanceId> {
        self.owners.get(&cell).map(|(instance, _)| *instance)
    }

    /// Returns the best cell for a model that isn't among `tried`, with its owner.
    ///
    /// The own region goes first, then a cell that isn't known to be full, then the shorter
    /// wait for prefill; the request's id spreads requests over equal cells.
    pub(crate) fn choose(
        &self,
        model: &ids::ModelName,
        request: ids::RequestId,
        tried: &[ids::CellId],
    ) -> Option<(ids::CellId, ids::InstanceId)> {
        self.cells
            .for_model(model)
            .map(|cell| cell.id)
            .filter(|cell| !tried.contains(cell))
            .filter_map(|cell| self.owner(cell).map(|owner| (cell, owner)))
            .min_by_key(|(cell, _)| self.rank(*cell, request))
    }

    fn rank(&self, cell: ids::CellId, request: ids::RequestId) -> (bool, bool, u32, u128) {
        let spare = self.spare.get(&cell);
        let full = spare.is_some_and(|spare| spare.free_slots == 0);
        let wait = spare.map_or(0, |spare| spare.prefill_wait_ms);
        let spread = request.0 ^ (u128::from(cell.0) | (u128::from(cell.0) << 64));
        (!self.is_near(cell), full, wait, spread)
    }

    fn is_near(&self, cell: ids::CellId) -> bool {
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
                let process = self.view.members.get(&owner)?.incarnation;
                Some((cell.id, (owner, process)))
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
