//! Outputs of a cell owner.

use crate::message;

/// An action that a cell owner requests.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to an instance, possibly this one.
    Send(ids::InstanceId, message::Message),
    /// Cancel an attempt at an engine and free its memory.
    Cancel(ids::ServerName, ids::RequestId, ids::AttemptNumber),
    /// Read an engine's load report.
    ReadLoad(ids::ServerName),
    /// Read an engine's running list.
    ReadRunning(ids::ServerName),
    /// Read an engine's cache events that follow a sequence number.
    ReadCacheEvents(ids::ServerName, u64),
    /// Report how many more engines of a cell should run prefill (positive) or decode (negative).
    PrefillDemand(ids::CellId, i32),
}
