//! What the engines of a cell have in common.

/// What the engines of a cell have in common.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CellGroup {
    /// Region the engines stand in.
    pub region: ids::RegionName,
    /// Models the engines serve.
    pub models: Vec<ids::ModelName>,
}

impl CellGroup {
    /// Returns the group of an engine.
    pub fn of(engine: &note::EngineEntry) -> Self {
        Self {
            region: engine.region.clone(),
            models: engine.models.clone(),
        }
    }
}
