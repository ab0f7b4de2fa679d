//! Changes of an instance's list of servers, for its log.

/// Change of one server in an instance's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ListChange {
    /// The server is listed and receives requests.
    Listed,
    /// The server is listed as draining.
    Draining,
    /// The server is no longer listed, but stays in use for a grace period.
    Kept,
    /// The server isn't in use any more.
    Removed,
}

/// Change of one server in an instance's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListEvent {
    /// Name of the server.
    pub server: ids::ServerName,
    /// What changed.
    pub change: ListChange,
}
