//! The configuration service over HTTP.

use std::{net, sync, time};

use crate::{connection_pool, json_exchange};

/// Time a read may take.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Time a watch may take; the service answers an idle watch earlier.
const WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(40);

/// Reads and watches the configuration service.
pub struct ConfigGateway {
    pool: sync::Arc<connection_pool::ConnectionPool>,
    service: net::SocketAddr,
}

impl ConfigGateway {
    /// Makes a gateway to the service at an address.
    #[must_use]
    pub const fn new(
        pool: sync::Arc<connection_pool::ConnectionPool>,
        service: net::SocketAddr,
    ) -> Self {
        Self { pool, service }
    }

    const fn exchange(&self, timeout: time::Duration) -> json_exchange::JsonExchange<'_> {
        json_exchange::JsonExchange {
            pool: &self.pool,
            server: self.service,
            timeout,
            start_by: clock::Timestamp::MAX,
            fresh: false,
        }
    }
}

#[async_trait::async_trait]
impl border::ConfigService for ConfigGateway {
    async fn read(
        &self,
        revision: ids::Revision,
    ) -> Result<Vec<border::NoteValue>, border::BorderError> {
        let path = format!("/notes?after={revision}");
        self.exchange(READ_TIMEOUT).get(&path).await
    }

    async fn watch(
        &self,
        revision: ids::Revision,
    ) -> Result<Vec<border::NoteValue>, border::BorderError> {
        let path = format!("/notes/watch?after={revision}");
        self.exchange(WATCH_TIMEOUT).get(&path).await
    }
}
