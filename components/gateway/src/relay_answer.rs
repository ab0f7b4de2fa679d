//! The answer to a caller.

use std::time;

use crate::relay_client;

/// Answers that come from this instance instead of a backend server.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    PartialEq,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum LocalAnswer {
    /// The request is malformed.
    BadRequest,
    /// The request has no key of a workspace.
    Unauthorized,
    /// No route matches.
    NoRoute,
    /// The body exceeds the limit.
    TooLarge,
    /// The request is beyond the limit of its workspace and was not run.
    OverLimit,
    /// The request was not run and may be retried.
    NotRun,
    /// The request was sent and its outcome is unknown.
    Unknown,
    /// The request was sent and its deadline passed.
    TimedOut,
}

impl LocalAnswer {
    /// Returns the HTTP status of the answer.
    #[must_use]
    pub const fn status(self) -> http::StatusCode {
        match self {
            Self::BadRequest => http::StatusCode::BAD_REQUEST,
            Self::Unauthorized => http::StatusCode::UNAUTHORIZED,
            Self::NoRoute => http::StatusCode::NOT_FOUND,
            Self::TooLarge => http::StatusCode::PAYLOAD_TOO_LARGE,
            Self::OverLimit => http::StatusCode::TOO_MANY_REQUESTS,
            Self::NotRun => http::StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => http::StatusCode::BAD_GATEWAY,
            Self::TimedOut => http::StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// The answer to a caller.
pub enum RelayAnswer {
    /// The complete answer of a backend server.
    Buffered {
        /// HTTP status.
        status: http::StatusCode,
        /// Header fields.
        headers: http::HeaderMap,
        /// Body.
        body: bytes::Bytes,
    },
    /// The answer of an engine, streamed; an error in the body aborts it.
    Stream {
        /// HTTP status.
        status: http::StatusCode,
        /// Header fields.
        headers: http::HeaderMap,
        /// Body.
        body: relay_client::ReplyBody,
    },
    /// An answer of this instance.
    Local {
        /// Kind of answer.
        answer: LocalAnswer,
        /// Delay after which a retry is expected to succeed.
        retry_after: Option<time::Duration>,
    },
}
