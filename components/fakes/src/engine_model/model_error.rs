//! Why an engine model doesn't take work.

/// Why an engine model doesn't take work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ModelError {
    /// The queue is full or the work can never fit.
    #[error("the engine has no room for the work")]
    NoRoom,
    /// The role of the engine excludes the work.
    #[error("the engine's role excludes the work")]
    WrongRole,
    /// The same attempt is already held.
    #[error("the engine holds the attempt already")]
    Repeated,
    /// The attempt or the KV cache isn't held any more.
    #[error("the engine doesn't hold the attempt")]
    Gone,
}
