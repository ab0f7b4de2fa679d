//! Keys into the arenas of a cell's state.

slotmap::new_key_type! {
    /// Key of an engine in the state of a cell.
    pub struct EngineKey;

    /// Key of a lease in the state of a cell.
    pub struct LeaseKey;
}
