//! A call to a plain service.

/// A call to a plain service, as it goes to a backend server.
#[derive(Clone, Debug, bon::Builder)]
pub struct CallJob {
    /// Request the call belongs to.
    pub request: ids::RequestId,
    /// Attempt the call belongs to.
    pub attempt: ids::AttemptNumber,
    /// Method of the call.
    pub method: http::Method,
    /// Path and query of the call.
    pub target: String,
    /// Header fields to pass on.
    pub headers: http::HeaderMap,
    /// Body of the call.
    pub body: bytes::Bytes,
    /// Time left to answer.
    pub time_left: std::time::Duration,
    /// Moment after which the first byte must not leave any more.
    pub start_by: clock::Timestamp,
}
