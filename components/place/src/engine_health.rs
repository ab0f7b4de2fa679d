//! Whether an engine answers.

/// Whether an engine answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EngineHealth {
    /// The running list hasn't been read since this instance owns the cell.
    #[default]
    Unlisted,
    /// The engine answers.
    Up,
    /// The engine doesn't answer, or failed at its work.
    Down,
}
