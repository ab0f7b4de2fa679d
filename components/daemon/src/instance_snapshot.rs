//! What an instance shows of itself.

use std::{collections, sync};

use crate::engine_count;

/// What an instance shows of itself to operators; immutable.
#[derive(Clone, Debug, Default)]
pub struct InstanceSnapshot {
    /// The state in force.
    pub state: sync::Arc<note::StateInForce>,
    /// Digest of the state in force.
    pub digest: note::StateDigest,
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
    /// What peers and the configuration service told of release notes; `None` before the start.
    pub notes: Option<spread::ReplicationStatus>,
    /// Orders to engines that aren't settled.
    pub orders: Vec<order::OrderReport>,
    /// Leases in each cell that the instance owns.
    pub leases: collections::BTreeMap<ids::CellId, usize>,
    /// What is counted of the engines of these cells.
    pub engines: collections::BTreeMap<ids::ServerName, engine_count::EngineCount>,
}

impl InstanceSnapshot {
    /// Takes what is counted of the cells that the instance owns.
    pub(crate) fn count_engines(&mut self, owner: &place::CellOwner) {
        self.leases.clear();
        self.engines.clear();
        for cell in &self.owned_cells {
            let Some(planner) = owner.planner(cell.id) else {
                continue;
            };
            self.leases
                .insert(cell.id, planner.cell_state.leases().count());
            let engines = planner.cell_state.engines().map(|(_, engine)| {
                (
                    engine.entry.name.clone(),
                    engine_count::EngineCount::of(engine),
                )
            });
            self.engines.extend(engines);
        }
    }
}
