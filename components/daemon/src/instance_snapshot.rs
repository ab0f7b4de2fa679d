//! What an instance shows of itself.

use std::sync;

/// What an instance shows of itself to operators; immutable.
#[derive(Clone, Debug, Default)]
pub struct InstanceSnapshot {
    /// The state in force.
    pub state: sync::Arc<note::StateInForce>,
    /// Digest of the state in force.
    pub digest: note::NoteDigest,
    /// The membership as seen here.
    pub view: sync::Arc<member::MemberView>,
    /// Cells that the instance owns.
    pub owned_cells: Vec<place::cell::Cell>,
    /// Requests and calls in flight.
    pub in_flight: usize,
    /// Whether the instance takes callers.
    pub ready: bool,
    /// Whether the instance drains.
    pub draining: bool,
    /// The last note refused, and why.
    pub refused: Option<(ids::Revision, note::RefusalReason)>,
}
