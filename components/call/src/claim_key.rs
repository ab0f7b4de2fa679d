//! Key under which a non-idempotent call is claimed.

/// Hash of workspace, service and idempotency key.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey(pub u128);
