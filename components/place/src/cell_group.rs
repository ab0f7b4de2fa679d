//! The key by which engines are grouped before they are split into cells.

/// Key of a group of engines; engines of different groups are never in the same cell.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CellGroup {
    /// Region that the engines run in.
    pub region: ids::RegionName,
    /// Models that the engines serve.
    pub models: Vec<ids::ModelName>,
}

impl CellGroup {
    /// Returns the group that an engine belongs to.
    pub fn of(engine: &note::EngineEntry) -> Self {
        Self {
            region: engine.region.clone(),
            models: engine.models.clone(),
        }
    }
}
