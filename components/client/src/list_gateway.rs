//! The platform's instance list over HTTP.

use std::{net, sync, time};

use crate::{connection_pool, json_exchange};

/// Time a read may take.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Reads the platform's list of instances.
pub struct ListGateway {
    pool: sync::Arc<connection_pool::ConnectionPool>,
    service: net::SocketAddr,
}

impl ListGateway {
    /// Makes a gateway to the list at an address.
    #[must_use]
    pub const fn new(
        pool: sync::Arc<connection_pool::ConnectionPool>,
        service: net::SocketAddr,
    ) -> Self {
        Self { pool, service }
    }
}

#[async_trait::async_trait]
impl border::InstanceList for ListGateway {
    async fn read(&self) -> Result<Vec<border::InstanceEntry>, border::BorderError> {
        let exchange = json_exchange::JsonExchange {
            pool: &self.pool,
            server: self.service,
            timeout: READ_TIMEOUT,
            start_by: clock::Timestamp::MAX,
            fresh: false,
        };
        exchange.get("/instances").await
    }
}
