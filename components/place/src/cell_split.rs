//! Splitting a group of engines into cells.

use std::collections;

use xxhash_rust::xxh3;

use crate::{cell, cell_group};

/// Engines of a group and the data centre of each.
pub type GroupEngines = collections::BTreeMap<ids::ServerName, ids::DataCentreName>;

/// Number of hash bits of an engine that are used for splitting.
const HASH_BITS: u32 = 32;

/// An engine that is assigned to a cell.
struct SplitEngine<'group> {
    name: &'group ids::ServerName,
    data_centre: &'group ids::DataCentreName,
    hash: u64,
}

/// Splits a group into cells of at most [`cell::CELL_ENGINE_LIMIT`] engines.
///
/// A group that fits the limit is one cell. A larger group is split by data centre, and each
/// part that is still too large is halved by the next bit of the engines' name hashes. A new
/// engine therefore changes only its own cell.
pub fn split(group: &cell_group::CellGroup, engines: &GroupEngines) -> Vec<cell::Cell> {
    let all: Vec<SplitEngine<'_>> = engines.iter().map(hashed_engine).collect();
    if all.len() <= cell::CELL_ENGINE_LIMIT {
        return make_cell(group, "", &all).into_iter().collect();
    }
    let mut centres: collections::BTreeMap<&ids::DataCentreName, Vec<SplitEngine<'_>>> =
        collections::BTreeMap::new();
    for engine in all {
        centres.entry(engine.data_centre).or_default().push(engine);
    }
    let mut cells = Vec::new();
    for (centre, part) in centres {
        halve(group, centre.as_str(), part, 0, &mut cells);
    }
    cells
}

fn hashed_engine<'group>(
    (name, data_centre): (&'group ids::ServerName, &'group ids::DataCentreName),
) -> SplitEngine<'group> {
    SplitEngine {
        name,
        data_centre,
        hash: xxh3::xxh3_64(name.as_str().as_bytes()),
    }
}

fn halve(
    group: &cell_group::CellGroup,
    path: &str,
    engines: Vec<SplitEngine<'_>>,
    bit: u32,
    cells: &mut Vec<cell::Cell>,
) {
    if engines.len() <= cell::CELL_ENGINE_LIMIT || bit == HASH_BITS {
        cells.extend(make_cell(group, path, &engines));
        return;
    }
    let (ones, zeros): (Vec<_>, Vec<_>) = engines
        .into_iter()
        .partition(|engine| engine.hash >> bit & 1 == 1);
    halve(group, &format!("{path}/0"), zeros, bit + 1, cells);
    halve(group, &format!("{path}/1"), ones, bit + 1, cells);
}

fn make_cell(
    group: &cell_group::CellGroup,
    path: &str,
    engines: &[SplitEngine<'_>],
) -> Option<cell::Cell> {
    Some(cell::Cell {
        id: cell_id(group, path),
        region: group.region.clone(),
        data_centre: majority_data_centre(engines)?,
        engines: engines.iter().map(|engine| engine.name.clone()).collect(),
        models: group.models.clone(),
    })
}

/// Returns the data centre that contains the most engines.
fn majority_data_centre(engines: &[SplitEngine<'_>]) -> Option<ids::DataCentreName> {
    let mut counts: collections::BTreeMap<&ids::DataCentreName, usize> =
        collections::BTreeMap::new();
    for engine in engines {
        *counts.entry(engine.data_centre).or_default() += 1;
    }
    counts
        .into_iter()
        .max_by_key(|(_, count)| *count)
        .map(|(centre, _)| centre.clone())
}

fn cell_id(group: &cell_group::CellGroup, path: &str) -> ids::CellId {
    let names: Vec<&str> = group.models.iter().map(ids::ModelName::as_str).collect();
    let text = format!("{}\n{}\n{path}", group.region, names.join("\n"));
    ids::CellId(xxh3::xxh3_64(text.as_bytes()))
}
