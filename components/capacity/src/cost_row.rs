//! What one part costs at one size.

/// What one part costs at one size.
#[derive(Clone, Debug, serde::Serialize)]
pub struct CostRow {
    /// Part that was measured.
    pub part: &'static str,
    /// What the size counts.
    pub size_of: &'static str,
    /// The size.
    pub size: usize,
    /// What one unit of work is.
    pub unit: &'static str,
    /// Processor time of one unit, in microseconds.
    pub unit_us: f64,
    /// Bytes sent for one unit to other instances, if the part sends any.
    pub unit_bytes: Option<f64>,
    /// Memory that the part holds at this size, in kilobytes, if it was measured.
    pub held_kilobytes: Option<u64>,
}
