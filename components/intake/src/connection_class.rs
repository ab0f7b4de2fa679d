//! Classes of connections.

/// Classes of connections. Each has a number of connections of its own, so that a crowd at one
/// listener leaves the others alone.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum ConnectionClass {
    /// Callers.
    Caller,
    /// Requests of other instances.
    Peer,
    /// Views or messages for other instances.
    View,
    /// Readiness checks.
    Readiness,
    /// Metrics and other pages for operators.
    Operator,
}

impl ConnectionClass {
    /// Returns whether the connections tell of their requests. The others count as waiting since they
    /// last received something.
    pub(crate) const fn has_phases(self) -> bool {
        matches!(self, Self::Caller | Self::Peer)
    }

    /// Returns the share of the descriptors for sockets that the class may use, as a divisor.
    pub(crate) const fn descriptor_divisor(self) -> usize {
        match self {
            Self::Caller => 2,
            Self::Peer | Self::View => 8,
            Self::Readiness | Self::Operator => 32,
        }
    }
}
