//! The cells of the state in force, updated incrementally.

use std::{collections, sync};

use crate::{cell, cell_group, cell_split};

/// The cells of the state in force; a state change recomputes only the groups it affects.
#[derive(Clone, Debug, Default)]
pub struct CellMap {
    state: sync::Arc<note::StateInForce>,
    groups: collections::BTreeMap<cell_group::CellGroup, cell_split::GroupEngines>,
    group_cells: collections::BTreeMap<cell_group::CellGroup, Vec<ids::CellId>>,
    cells: collections::BTreeMap<ids::CellId, cell::Cell>,
    models: collections::BTreeMap<ids::ModelName, collections::BTreeSet<ids::CellId>>,
}

impl CellMap {
    /// Updates the cells for a new state in force; returns whether any group of engines changed.
    pub fn update(&mut self, state: &sync::Arc<note::StateInForce>) -> bool {
        let before = std::mem::replace(&mut self.state, sync::Arc::clone(state));
        let changed = self.apply_changes(&before, state);
        for group in &changed {
            self.rebuild(group);
        }
        !changed.is_empty()
    }

    /// Returns all cells by id.
    #[must_use]
    pub const fn cells(&self) -> &collections::BTreeMap<ids::CellId, cell::Cell> {
        &self.cells
    }

    /// Returns the cell with the given id.
    #[must_use]
    pub fn get(&self, id: ids::CellId) -> Option<&cell::Cell> {
        self.cells.get(&id)
    }

    /// Returns the cells whose engines serve `model`.
    pub fn for_model(&self, model: &ids::ModelName) -> impl Iterator<Item = &cell::Cell> {
        self.models
            .get(model)
            .into_iter()
            .flatten()
            .filter_map(|id| self.cells.get(id))
    }

    /// Applies the engine changes between two states; returns the groups that changed.
    fn apply_changes(
        &mut self,
        before: &note::StateInForce,
        after: &note::StateInForce,
    ) -> collections::BTreeSet<cell_group::CellGroup> {
        let mut changed = collections::BTreeSet::new();
        for (old, new) in before.engines.changes(&after.engines) {
            if let (Some(old), Some(new)) = (old, new)
                && has_same_cell_fields(old, new)
            {
                continue;
            }
            changed.extend(old.map(|engine| self.remove_engine(engine)));
            changed.extend(new.map(|engine| self.insert_engine(engine)));
        }
        changed
    }

    fn remove_engine(&mut self, engine: &note::EngineEntry) -> cell_group::CellGroup {
        let group = cell_group::CellGroup::of(engine);
        if let Some(engines) = self.groups.get_mut(&group) {
            engines.remove(&engine.name);
        }
        group
    }

    fn insert_engine(&mut self, engine: &note::EngineEntry) -> cell_group::CellGroup {
        let group = cell_group::CellGroup::of(engine);
        self.groups
            .entry(group.clone())
            .or_default()
            .insert(engine.name.clone(), engine.data_centre.clone());
        group
    }

    fn rebuild(&mut self, group: &cell_group::CellGroup) {
        for id in self.group_cells.remove(group).unwrap_or_default() {
            self.cells.remove(&id);
            for model in &group.models {
                if let Some(cells) = self.models.get_mut(model) {
                    cells.remove(&id);
                }
            }
        }
        let engines = self.groups.get(group);
        if engines.is_none_or(collections::BTreeMap::is_empty) {
            self.groups.remove(group);
            return;
        }
        let cells = engines.map(|engines| cell_split::split(group, engines));
        for cell in cells.unwrap_or_default() {
            let key = group.clone();
            self.group_cells.entry(key).or_default().push(cell.id);
            for model in &group.models {
                let cells = self.models.entry(model.clone()).or_default();
                cells.insert(cell.id);
            }
            self.cells.insert(cell.id, cell);
        }
    }
}

fn has_same_cell_fields(old: &note::EngineEntry, new: &note::EngineEntry) -> bool {
    old.region == new.region && old.data_centre == new.data_centre && old.models == new.models
}
