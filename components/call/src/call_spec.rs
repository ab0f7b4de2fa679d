//! Properties of a call at arrival.

use crate::claim_key;

/// Properties of a call at arrival.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder)]
#[builder(on(_, into))]
pub struct CallSpec {
    /// Request that the call belongs to.
    pub request: ids::RequestId,
    /// Workspace of the caller.
    pub workspace: ids::WorkspaceName,
    /// Request class of the call.
    pub class: ids::ClassName,
    /// Service that is called.
    pub service: ids::ServiceName,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Idempotency key under which the caller may retry a non-idempotent call.
    pub key: Option<claim_key::ClaimKey>,
    /// Age of the key at arrival, when the key contains its creation time; see
    /// [`crate::key_age()`].
    ///
    /// Unset when the key contains no creation time or one later than this instance's clock. A key
    /// of known age can be claimed as soon as the witnesses have been up for that time. A key that
    /// is older than the retention is always refused.
    pub key_age: Option<std::time::Duration>,
    /// Hash of method, path and body.
    ///
    /// A retry under a key with a different fingerprint is an error of the caller.
    pub fingerprint: u128,
    /// Priority; calls with a higher value are sent first.
    pub priority: u8,
    /// Time from arrival to the deadline of the answer.
    pub time_left: std::time::Duration,
}
