//! The properties that the engines of a cell share.

/// The properties that the engines of a cell share.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CellGroup {
    /// Region the engines run in.
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
