//! Cells, as a pure function of the state in force, and their owners.

use std::collections::BTreeMap;

use xxhash_rust::xxh3;

/// Largest number of engines in one cell.
pub const CELL_ENGINE_LIMIT: usize = 64;

/// A group of engines of one region that work together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cell {
    /// Identifies the cell on every instance alike.
    pub id: ids::CellId,
    /// Region of the engines.
    pub region: ids::RegionName,
    /// Engines of the cell.
    pub engines: Vec<ids::ServerName>,
    /// Models that the engines serve.
    pub models: Vec<ids::ModelName>,
}

/// Returns the cells of a state in force, the same on every instance.
#[must_use]
pub fn cells(state: &note::StateInForce) -> Vec<Cell> {
    let mut groups: BTreeMap<(&ids::RegionName, &[ids::ModelName]), Vec<&note::EngineEntry>> =
        BTreeMap::new();
    for engine in state.engines.values() {
        groups
            .entry((&engine.region, &engine.models))
            .or_default()
            .push(engine);
    }
    groups
        .into_iter()
        .flat_map(|((region, models), engines)| {
            engines
                .chunks(CELL_ENGINE_LIMIT)
                .enumerate()
                .map(|(part, chunk)| Cell {
                    id: cell_id(region, models, part),
                    region: region.clone(),
                    engines: chunk.iter().map(|engine| engine.name.clone()).collect(),
                    models: models.to_vec(),
                })
                .collect::<Vec<_>>()
        })
        .collect()
}

/// Returns the instance that owns `cell` in `view`: the highest by rendezvous hash of its region.
#[must_use]
pub fn owner(cell: &Cell, view: &member::MemberView) -> Option<ids::InstanceId> {
    view.usable()
        .filter(|member| member.instance.region == cell.region)
        .map(|member| member.instance.id)
        .max_by_key(|instance| xxh3::xxh3_64_with_seed(&instance.0.to_le_bytes(), cell.id.0))
}

fn cell_id(region: &ids::RegionName, models: &[ids::ModelName], part: usize) -> ids::CellId {
    let names: Vec<&str> = models.iter().map(ids::ModelName::as_str).collect();
    let text = format!("{region}\n{}\n{part}", names.join("\n"));
    ids::CellId(xxh3::xxh3_64(text.as_bytes()))
}
