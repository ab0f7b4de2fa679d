//! Free capacity of a cell.

/// Free capacity of a cell, sent by its owner to the entry instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityAdvert {
    /// The cell.
    pub cell: ids::CellId,
    /// Number of free decode slots.
    pub free_slots: u32,
    /// Number of free KV cache pieces at the decode engines.
    pub free_pieces: u32,
    /// Time until the first prefill engine is free, in milliseconds.
    pub prefill_wait_ms: u32,
}
