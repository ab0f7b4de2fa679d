//! The answer to a call.

/// The answer of a backend server to a call.
#[derive(Clone, Debug)]
pub struct CallReply {
    /// Status of the answer.
    pub status: http::StatusCode,
    /// Header fields of the answer.
    pub headers: http::HeaderMap,
    /// Body of the answer.
    pub body: bytes::Bytes,
}
