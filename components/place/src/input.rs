//! Inputs of a cell owner.

use std::sync;

use crate::message;

/// An input of a cell owner.
#[derive(Clone, Debug)]
pub enum Input {
    /// An instance, possibly this one, sent a message.
    Message(ids::InstanceId, message::Message),
    /// An engine's load report was read; `None` if the read failed.
    Load(ids::ServerName, Option<border::LoadReport>),
    /// An engine's running list was read; `None` if the read failed.
    Running(ids::ServerName, Option<Vec<border::RunningEntry>>),
    /// An engine's cache events were read.
    CacheEvents(ids::ServerName, Vec<border::CacheEvent>),
    /// An engine reported its role.
    Role(ids::ServerName, note::EngineRole),
    /// An engine starts to drain (`true`) or accepts new work again (`false`).
    Drain(ids::ServerName, bool),
    /// A new state is in force.
    State(sync::Arc<note::StateInForce>),
    /// The membership view has changed.
    View(sync::Arc<member::MemberView>),
    /// The time of [`CellOwner::next_wake`](crate::CellOwner::next_wake) has been reached.
    Wake,
}
