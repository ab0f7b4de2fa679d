//! A stand-in engine on loopback.

use std::{io, net, sync};

use crate::{engine_fleet, engine_routes, engine_slot, stand_server};

/// A stand-in engine on loopback.
pub struct EngineStand {
    fleet: sync::Arc<engine_fleet::EngineFleet>,
    server: stand_server::StandServer,
    entry: note::EngineEntry,
}

impl EngineStand {
    /// Starts an engine that has its models loaded; its entry gets the address it listens on.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no port can be bound.
    pub async fn start(
        fleet: &sync::Arc<engine_fleet::EngineFleet>,
        mut entry: note::EngineEntry,
        loaded: Vec<(ids::ModelName, ids::VersionName)>,
    ) -> io::Result<Self> {
        let listener = stand_server::StandServer::bind().await?;
        entry.address = listener.local_addr()?;
        let router = engine_routes::router(sync::Arc::clone(fleet), entry.address);
        fleet.insert(entry.address, engine_slot::EngineSlot::new(&entry, loaded));
        let server = stand_server::StandServer::serve(listener, router)?;
        Ok(Self {
            fleet: sync::Arc::clone(fleet),
            server,
            entry,
        })
    }

    /// Returns the address of the engine.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Returns the engine as a release note describes it.
    #[must_use]
    pub const fn entry(&self) -> &note::EngineEntry {
        &self.entry
    }

    /// Returns whether the engine holds work.
    #[must_use]
    pub fn holds_work(&self) -> bool {
        let running = self.fleet.read(self.address(), |slot, now| {
            !slot.model.running(now).is_empty()
        });
        running.unwrap_or(false)
    }

    /// Ends the engine at once; its memory is gone.
    pub fn kill(&self) {
        self.server.kill();
        self.fleet.remove(self.address());
    }

    /// Makes all open connections silent for good; the engine goes on and new ones work.
    pub fn silence(&self) {
        self.server.silence();
    }
}
