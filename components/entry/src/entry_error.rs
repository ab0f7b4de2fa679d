//! Why a request is refused before it reaches the control core.

/// Why a request is refused before it reaches the control core; none of them has run.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EntryError {
    /// The body is too large.
    #[error("the body exceeds {limit} bytes")]
    BodyTooLarge {
        /// Largest body, in bytes.
        limit: usize,
    },
    /// The body didn't arrive in time.
    #[error("the body didn't arrive within {limit_ms} ms")]
    BodyTooSlow {
        /// Time a body may take, in milliseconds.
        limit_ms: u64,
    },
    /// The body broke off.
    #[error("the body broke off")]
    BodyBroken,
    /// The body isn't what the path takes.
    #[error("the body can't be read: {0}")]
    BadBody(String),
    /// A value is out of range.
    #[error("`{key}` must be {expected}")]
    OutOfRange {
        /// Key of the value.
        key: &'static str,
        /// What is allowed.
        expected: String,
    },
    /// The model isn't served.
    #[error("the model `{0}` isn't served")]
    UnknownModel(String),
    /// No request class covers the request.
    #[error("no request class covers the request")]
    NoClass,
    /// The workspace isn't known.
    #[error("the workspace isn't known")]
    UnknownWorkspace,
    /// Nothing is served under the path.
    #[error("nothing is served under this path")]
    UnknownPath,
    /// The path is served with other methods.
    #[error("the path doesn't take this method")]
    WrongMethod,
    /// The workspace has too many requests in flight.
    #[error("the workspace has too many requests in flight")]
    WorkspaceFull,
    /// The instance has too many requests in flight.
    #[error("the instance has too many requests in flight")]
    InstanceFull,
    /// The instance doesn't take requests now.
    #[error("the instance doesn't take requests now")]
    NotReady,
}

impl EntryError {
    /// Returns the HTTP status of the refusal.
    #[must_use]
    pub const fn status(&self) -> http::StatusCode {
        match self {
            Self::BodyTooLarge { .. } => http::StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow { .. } => http::StatusCode::REQUEST_TIMEOUT,
            Self::BodyBroken | Self::BadBody(_) | Self::OutOfRange { .. } | Self::NoClass => {
                http::StatusCode::BAD_REQUEST
            }
            Self::UnknownModel(_) | Self::UnknownPath => http::StatusCode::NOT_FOUND,
            Self::UnknownWorkspace => http::StatusCode::FORBIDDEN,
            Self::WrongMethod => http::StatusCode::METHOD_NOT_ALLOWED,
            Self::WorkspaceFull => http::StatusCode::TOO_MANY_REQUESTS,
            Self::InstanceFull | Self::NotReady => http::StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
