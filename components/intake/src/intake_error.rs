//! Reasons why a body isn't read to its end.

/// Reasons why a body isn't read to its end. The request hasn't run, and never will.
#[derive(
    Clone, Copy, Debug, Eq, Hash, PartialEq, thiserror::Error, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum IntakeError {
    /// The body exceeds its limit.
    #[error("the body exceeds its limit")]
    TooLarge,
    /// The body broke off, or isn't one in the protocol.
    #[error("the body is incomplete")]
    Broken,
    /// The body isn't whole in time.
    #[strum(serialize = "body_timeout")]
    #[error("the body isn't whole in time")]
    TimedOut,
    /// There is no room for the body beside those of other requests.
    #[error("there is no room for the body")]
    NoRoom,
}
