//! Spare capacity of a cell.

/// Spare capacity of a cell, told to the entry instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityAdvert {
    /// The cell.
    pub cell: ids::CellId,
    /// Free decode slots.
    pub free_slots: u32,
    /// Free pieces of decode memory.
    pub free_pieces: u32,
    /// Time a prompt would wait for prefill, in milliseconds.
    pub prefill_wait_ms: u32,
}
