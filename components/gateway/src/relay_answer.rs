//! The answer to a caller.

use std::time;

use crate::relay_client;

/// Why an answer comes from this instance rather than from a backend server.
#[derive(
    Clone, Copy, Debug, Eq, Hash, PartialEq, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum LocalAnswer {
    /// The request isn't well formed.
    BadRequest,
    /// No route fits.
    NoRoute,
    /// The body is too large.
    TooLarge,
    /// It was not run and may be sent again.
    NotRun,
    /// It was sent and its outcome is unknown.
    Unknown,
    /// It was sent, and its time ran out.
    TimedOut,
}

impl LocalAnswer {
    /// Returns the status that callers see.
    #[must_use]
    pub const fn status(self) -> http::StatusCode {
        match self {
            Self::BadRequest => http::StatusCode::BAD_REQUEST,
            Self::NoRoute => http::StatusCode::NOT_FOUND,
            Self::TooLarge => http::StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotRun => http::StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => http::StatusCode::BAD_GATEWAY,
            Self::TimedOut => http::StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// The answer to a caller.
pub enum RelayAnswer {
    /// The answer of a backend server, whole.
    Whole {
        /// Status.
        status: http::StatusCode,
        /// Header fields.
        headers: http::HeaderMap,
        /// Body.
        body: bytes::Bytes,
    },
    /// The answer of an engine as it comes; an error breaks it off.
    Stream {
        /// Status.
        status: http::StatusCode,
        /// Header fields.
        headers: http::HeaderMap,
        /// Body.
        body: relay_client::ReplyBody,
    },
    /// An answer of this instance.
    Own {
        /// What it says.
        answer: LocalAnswer,
        /// Time after which a repeat is expected to be served.
        retry_after: Option<time::Duration>,
    },
}
