//! A key for the work of one attempt of a request.

/// A key for the work of one attempt of a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkKey {
    /// The request.
    pub request: ids::RequestId,
    /// The attempt.
    pub attempt: ids::AttemptNumber,
}
