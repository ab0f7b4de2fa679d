//! Cells, as a pure function of the state in force, and their owners.

use std::collections;

use crate::{cell_group, cell_split, region_members};

/// Largest number of engines in one cell.
pub const CELL_ENGINE_LIMIT: usize = 64;

/// A group of engines of one region that work together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cell {
    /// Identifies the cell on every instance alike.
    pub id: ids::CellId,
    /// Region of the engines.
    pub region: ids::RegionName,
    /// Data centre of most of the engines.
    pub data_centre: ids::DataCentreName,
    /// Engines of the cell.
    pub engines: Vec<ids::ServerName>,
    /// Models that the engines serve.
    pub models: Vec<ids::ModelName>,
}

/// Returns the cells of a state in force, the same on every instance.
///
/// [`crate::CellMap`] keeps them across changes of the state.
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
/// [`crate::RegionMembers`] answers for many cells of one view.
#[must_use]
pub fn owner(cell: &Cell, view: &member::MemberView) -> Option<ids::InstanceId> {
    region_members::RegionMembers::of(view).owner(cell)
}
