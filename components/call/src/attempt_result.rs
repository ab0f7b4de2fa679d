//! Result of one attempt of a call.

/// Result of one attempt of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The backend server answered with a status.
    Replied(u16),
    /// The attempt failed; the error shows whether the call can have run.
    Failed(border::BorderError),
}
