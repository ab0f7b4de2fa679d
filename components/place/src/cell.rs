//! Cells and their owners, computed from the state in force and the membership.

use std::collections;

use crate::{cell_group, cell_split, region_members};

/// Largest number of engines in one cell.
pub const CELL_ENGINE_LIMIT: usize = 64;

/// A group of engines in one region; one owner places the requests of the whole group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cell {
    /// Id of the cell; every instance computes the same one.
    pub id: ids::CellId,
    /// Region that the engines run in.
    pub region: ids::RegionName,
    /// Data centre with the most engines of the cell.
    pub data_centre: ids::DataCentreName,
    /// Names of the engines.
    pub engines: Vec<ids::ServerName>,
    /// Models that the engines serve.
    pub models: Vec<ids::ModelName>,
}

/// Returns the cells of a state in force; the result is the same on every instance.
///
/// [`crate::CellMap`] updates the cells incrementally when the state changes.
#[must_use]
pub fn cells(state: &note::StateInForce) -> Vec<Cell> {
    let mut groups: collections::BTreeMap<cell_group::CellGroup, cell_split::GroupEngines> =
        collections::BTreeMap::new();
    for engine in state.engines.values() {
        groups
            .entry(cell_group::CellGroup::of(engine))
            .or_default()
            .insert(engine.name.clone(), engine.data_centre.clone());
    }
    groups
        .iter()
        .flat_map(|(group, engines)| cell_split::split(group, engines))
        .collect()
}

/// Returns the instance that owns `cell` in `view`.
///
/// To look up the owners of many cells in one view, use [`crate::RegionMembers`].
#[must_use]
pub fn owner(cell: &Cell, view: &member::MemberView) -> Option<ids::InstanceId> {
    region_members::RegionMembers::of(view).owner(cell)
}
