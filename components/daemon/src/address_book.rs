//! Addresses of backend servers by name.

use std::{collections, net, sync};

/// Withdrawn engines whose addresses are kept, so that work on them can still be cancelled.
const WITHDRAWN_LIMIT: usize = 1_024;

/// Addresses of backend servers by name.
#[derive(Default)]
pub(crate) struct AddressBook {
    state: sync::Arc<note::StateInForce>,
    withdrawn: collections::VecDeque<(ids::ServerName, net::SocketAddr)>,
}

impl AddressBook {
    /// Uses a state that has come into force.
    pub(crate) fn follow(&mut self, state: sync::Arc<note::StateInForce>) {
        for (old, new) in self.state.engines.changes(&state.engines) {
            if let (Some(engine), None) = (old, new) {
                let withdrawn = (engine.name.clone(), engine.address);
                self.withdrawn.push_back(withdrawn);
            }
        }
        let surplus = self.withdrawn.len().saturating_sub(WITHDRAWN_LIMIT);
        self.withdrawn.drain(..surplus);
        self.state = state;
    }

    /// Returns the address of an engine, also of one withdrawn lately.
    pub(crate) fn engine(&self, name: &ids::ServerName) -> Option<net::SocketAddr> {
        let current = self.state.engines.get(name).map(|engine| engine.address);
        current.or_else(|| {
            let mut newest_first = self.withdrawn.iter().rev();
            newest_first
                .find(|(withdrawn, _)| withdrawn == name)
                .map(|(_, address)| *address)
        })
    }

    /// Returns the address of a server of a plain service.
    pub(crate) fn server(&self, name: &ids::ServerName) -> Option<net::SocketAddr> {
        self.state.servers.get(name).map(|server| server.address)
    }
}
