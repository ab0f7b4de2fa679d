//! What a cell owner takes.

use std::sync;

use crate::message;

/// What a cell owner takes.
#[derive(Clone, Debug)]
pub enum Input {
    /// An instance sent a message; this instance may be that instance.
    Message(ids::InstanceId, message::Message),
    /// An engine's load report was read; `None` when that failed.
    Load(ids::ServerName, Option<border::LoadReport>),
    /// An engine's running list was read; `None` when that failed.
    Running(ids::ServerName, Option<Vec<border::RunningEntry>>),
    /// An engine's cache events were read.
    CacheEvents(ids::ServerName, Vec<border::CacheEvent>),
    /// An engine reported its role.
    Role(ids::ServerName, note::EngineRole),
    /// An engine is to take no new work, or may take it again.
    Drain(ids::ServerName, bool),
    /// A state has come into force.
    State(sync::Arc<note::StateInForce>),
    /// The membership has changed.
    View(sync::Arc<member::MemberView>),
    /// The requested time has come.
    Wake,
}
