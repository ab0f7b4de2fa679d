//! Numbers of what an intake has turned away.

/// Numbers of what an intake has turned away.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TurnedAway {
    /// Connections that were ended before their clients closed them.
    pub ended: u64,
    /// Connections that had no place.
    pub refused_connections: u64,
    /// Bodies that weren't read to their end.
    pub refused_bodies: u64,
}

impl TurnedAway {
    /// Returns what has been turned away since earlier numbers.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self {
            ended: self.ended - earlier.ended,
            refused_connections: self.refused_connections - earlier.refused_connections,
            refused_bodies: self.refused_bodies - earlier.refused_bodies,
        }
    }
}
