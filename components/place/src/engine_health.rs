//! Whether an engine responds.

/// Whether an engine responds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EngineHealth {
    /// The running list has not been read since this instance became the owner of the cell.
    #[default]
    Unpolled,
    /// The engine responds.
    Up,
    /// The engine does not respond, or an attempt at it has failed.
    Down,
}
