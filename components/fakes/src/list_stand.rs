//! A stand-in instance list, with the limit of the weight store beside it.

use std::{io, net, sync};

use axum::routing;

use crate::stand_server;

/// Loads a minute that the weight store bears.
const LOADS_PER_MINUTE: u32 = 60;

type Entries = tokio::sync::watch::Sender<Vec<border::InstanceEntry>>;

/// A stand-in instance list on loopback, with the limit of the weight store beside it.
pub struct ListStand {
    entries: sync::Arc<Entries>,
    server: stand_server::StandServer,
}

impl ListStand {
    /// Starts an empty list.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let entries = sync::Arc::new(Entries::new(Vec::new()));
        let router = axum::Router::new()
            .route("/instances", routing::get(instances))
            .route("/limits/loads_per_minute", routing::get(limit))
            .with_state(sync::Arc::clone(&entries));
        let listener = stand_server::StandServer::bind().await?;
        let server = stand_server::StandServer::serve(listener, router)?;
        Ok(Self { entries, server })
    }

    /// Returns the address of the list.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Replaces the list.
    pub fn set(&self, entries: Vec<border::InstanceEntry>) {
        self.entries.send_replace(entries);
    }
}

async fn instances(
    axum::extract::State(entries): axum::extract::State<sync::Arc<Entries>>,
) -> axum::Json<Vec<border::InstanceEntry>> {
    axum::Json(entries.borrow().clone())
}

async fn limit() -> axum::Json<u32> {
    axum::Json(LOADS_PER_MINUTE)
}
