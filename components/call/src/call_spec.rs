//! What is known of a call.

use crate::claim_key;

/// What is known of a call when it arrives.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder)]
#[builder(on(_, into))]
pub struct CallSpec {
    /// Request the call belongs to.
    pub request: ids::RequestId,
    /// Workspace of the caller.
    pub workspace: ids::WorkspaceName,
    /// Class of the call.
    pub class: ids::ClassName,
    /// Service the call goes to.
    pub service: ids::ServiceName,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Key under which the caller may repeat a non-idempotent call.
    pub key: Option<claim_key::ClaimKey>,
    /// Age of the key at arrival, when the key itself tells when it was made: see [`crate::key_age`].
    ///
    /// Unset when the key tells nothing or a time later than this instance's clock. A key of
    /// known age can be claimed as soon as the witnesses have been up for that time, and is
    /// refused for good once it is older than the retention.
    pub key_age: Option<std::time::Duration>,
    /// Hash of method, path and body; a key repeated with another one is a caller's error.
    pub fingerprint: u128,
    /// Priority; higher goes first.
    pub priority: u8,
    /// Time left to answer.
    pub time_left: std::time::Duration,
}
