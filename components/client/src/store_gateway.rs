//! The weight store's limit over HTTP.

use std::{net, sync, time};

use crate::{connection_pool, json_exchange};

/// Time a read may take.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Reads the limit of the weight store.
pub struct StoreGateway {
    pool: sync::Arc<connection_pool::ConnectionPool>,
    service: net::SocketAddr,
}

impl StoreGateway {
    /// Makes a gateway to the store at an address.
    #[must_use]
    pub const fn new(
        pool: sync::Arc<connection_pool::ConnectionPool>,
        service: net::SocketAddr,
    ) -> Self {
        Self { pool, service }
    }
}

#[async_trait::async_trait]
impl border::WeightStore for StoreGateway {
    async fn loads_per_minute(&self) -> Result<u32, border::BorderError> {
        let exchange = json_exchange::JsonExchange {
            pool: &self.pool,
            server: self.service,
            timeout: READ_TIMEOUT,
            start_by: clock::Timestamp::MAX,
            fresh: false,
        };
        exchange.get("/limits/loads_per_minute").await
    }
}
