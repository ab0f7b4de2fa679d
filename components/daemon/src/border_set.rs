//! The systems outside an instance.

use std::{sync, time};

/// The systems outside an instance, as trait objects.
#[derive(Clone, bon::Builder)]
pub struct BorderSet {
    /// Model engines.
    pub engines: sync::Arc<dyn border::EngineClient>,
    /// Plain services.
    pub services: sync::Arc<dyn border::ServiceClient>,
    /// The configuration service.
    pub notes: sync::Arc<dyn border::ConfigService>,
    /// The platform's instance list.
    pub list: sync::Arc<dyn border::InstanceList>,
    /// The weight store.
    pub store: Option<sync::Arc<dyn border::WeightStore>>,
}

impl BorderSet {
    /// Makes clients that speak HTTP to the addresses in the settings; answers to calls are read into
    /// `memory`.
    #[must_use]
    pub fn over_http(
        settings: &settings::InstanceSettings,
        pool: &sync::Arc<client::ConnectionPool>,
        memory: client::AnswerMemory,
    ) -> Self {
        let timeouts = engine_timeouts(&settings.timeouts);
        let engines = client::EngineGateway::new(sync::Arc::clone(pool), timeouts);
        let services = client::ServiceGateway::new(sync::Arc::clone(pool), sync::Arc::new(memory));
        let platform = &settings.platform;
        let notes =
            client::ConfigGateway::new(sync::Arc::clone(pool), platform.configuration_service);
        let list = client::ListGateway::new(sync::Arc::clone(pool), platform.instance_list);
        let store = platform.weight_store.map(|address| {
            let gateway = client::StoreGateway::new(sync::Arc::clone(pool), address);
            let store: sync::Arc<dyn border::WeightStore> = sync::Arc::new(gateway);
            store
        });
        Self::builder()
            .engines(sync::Arc::new(engines))
            .services(sync::Arc::new(services))
            .notes(sync::Arc::new(notes))
            .list(sync::Arc::new(list))
            .maybe_store(store)
            .build()
    }
}

fn engine_timeouts(timeouts: &settings::StageTimeouts) -> client::EngineTimeouts {
    client::EngineTimeouts::builder()
        .prefill(time::Duration::from_millis(timeouts.prefill_ms))
        .transfer(time::Duration::from_millis(timeouts.transfer_ms))
        .token_gap(time::Duration::from_millis(timeouts.token_gap_ms))
        .report(time::Duration::from_millis(timeouts.engine_reading_ms))
        .build()
}
