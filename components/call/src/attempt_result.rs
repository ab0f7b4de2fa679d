//! What became of one attempt of a call.

/// What became of one attempt of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The backend server answered with a status.
    Replied(u16),
    /// The attempt failed; the error says what it proves.
    Failed(border::BorderError),
}
