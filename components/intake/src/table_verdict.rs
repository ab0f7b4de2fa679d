//! Verdicts of the connection table.

use crate::connection_table;

/// Verdict on a new connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdmitVerdict {
    /// The connection is kept; those listed end.
    Admitted {
        /// Key of the connection.
        key: connection_table::ConnectionKey,
        /// Connections that make room.
        ends: Vec<connection_table::ConnectionKey>,
        /// What they make room for.
        reason: connection_table::EndReason,
    },
    /// All connections have requests under way.
    Refused,
}

/// Verdict on more bytes of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GrowVerdict {
    /// The bytes are counted.
    Granted,
    /// The bytes have room once the connections that end have freed theirs. Those listed end now.
    Wait {
        /// Connections that make room.
        ends: Vec<connection_table::ConnectionKey>,
    },
    /// The request itself is the one to be given up.
    Refused,
}
