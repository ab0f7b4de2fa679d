//! Keys into the arenas of a cell.

slotmap::new_key_type! {
    /// Names an engine within the book of a cell.
    pub struct EngineKey;

    /// Names a lease within the book of a cell.
    pub struct LeaseKey;
}
