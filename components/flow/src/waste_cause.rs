//! Causes of wasted prefill work.

/// The reason why the result of a prefill was not used for an answer.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum WasteCause {
    /// The caller closed its connection.
    CallerGone,
    /// The prefill engine or the connection to it was lost.
    PrefillLost,
    /// No decode engine imported the result before its retention ended.
    TransferFailed,
    /// The decode engine lost the request.
    DecodeLost,
    /// The cell owner revoked the lease.
    LeaseRevoked,
}
