//! A cell that an instance owns.

/// A cell that an instance owns.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CellReport {
    /// The cell.
    pub id: String,
    /// Region of the cell.
    pub region: String,
    /// Engines of the cell.
    pub engines: usize,
    /// Leases held.
    pub leases: usize,
}
