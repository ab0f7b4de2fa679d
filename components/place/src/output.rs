//! What a cell owner asks for.

use crate::message;

/// What a cell owner asks for.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to an instance, which may be this one.
    Send(ids::InstanceId, message::Message),
    /// End an attempt at an engine and free its memory.
    Cancel(ids::ServerName, ids::RequestId, ids::AttemptNumber),
    /// Read an engine's load report.
    ReadLoad(ids::ServerName),
    /// Read an engine's running list.
    ReadRunning(ids::ServerName),
    /// Read an engine's cache events after a sequence number.
    ReadCacheEvents(ids::ServerName, u64),
    /// Tell how many more engines of a cell should prefill (positive) or decode (negative).
    PrefillDemand(ids::CellId, i32),
}
