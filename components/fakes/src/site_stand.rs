//! A whole stand-in site around the router.

use std::{io, net, sync};

use crate::{config_stand, engine_fleet, engine_stand, list_stand, service_stand, site_figures};

/// Model that the site serves.
const MODEL: &str = "drafts";

/// Version of the model.
const VERSION: &str = "1";

/// Region of the site.
const REGION: &str = "eu-west";

/// Number of data centres that engines and instances are spread over.
const DATA_CENTRES: usize = 3;

/// Pieces of memory of an engine.
const KV_PIECES: u32 = 64;

/// Time an engine keeps a prefill result, in milliseconds.
const RETENTION_MS: u32 = 800;

/// A whole stand-in site around the router: engines, services and the platform.
pub struct SiteStand {
    /// The engines' timing and memory.
    pub fleet: sync::Arc<engine_fleet::EngineFleet>,
    /// Engines that read prompts.
    pub prefill: Vec<engine_stand::EngineStand>,
    /// Engines that generate tokens.
    pub decode: Vec<engine_stand::EngineStand>,
    /// Backend servers of the order service.
    pub orders: Vec<service_stand::ServiceStand>,
    /// The configuration service.
    pub config: config_stand::ConfigStand,
    /// The instance list.
    pub list: list_stand::ListStand,
    figures: site_figures::SiteFigures,
}

impl SiteStand {
    /// Starts a site and publishes its first release note.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no port can be bound.
    pub async fn start(figures: site_figures::SiteFigures) -> io::Result<Self> {
        let fleet = engine_fleet::EngineFleet::start();
        let prefill = figures.prefill_engines;
        let decode = figures.decode_engines;
        let mut site = Self {
            prefill: start_engines(&fleet, &figures, note::EngineRole::Prefill, prefill).await?,
            decode: start_engines(&fleet, &figures, note::EngineRole::Decode, decode).await?,
            orders: Vec::new(),
            config: config_stand::ConfigStand::start().await?,
            list: list_stand::ListStand::start().await?,
            fleet,
            figures,
        };
        for _ in 0..site.figures.order_servers {
            let latency = site.figures.call_latency;
            site.orders
                .push(service_stand::ServiceStand::start(latency).await?);
        }
        site.publish(&site.first_note());
        Ok(site)
    }

    /// Serves a note at the configuration service.
    pub fn publish(&self, note: &note::ReleaseNote) {
        // JSON is YAML, too.
        let text = serde_json::to_string(note).unwrap_or_default();
        self.config.publish(note.revision, text);
    }

    /// Returns the settings of an instance of the site.
    #[must_use]
    pub fn settings(&self, id: u64) -> settings::InstanceSettings {
        let free = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        settings::InstanceSettings::builder()
            .instance(
                settings::InstancePlace::builder()
                    .id(ids::InstanceId(id))
                    .region(REGION)
                    .data_centre(data_centre(usize::try_from(id).unwrap_or(0)))
                    .peer_address(free)
                    .build(),
            )
            .listen(settings::ListenAddresses {
                callers: free,
                peers: free,
                admin: free,
            })
            .platform(settings::PlatformAddresses {
                configuration_service: self.config.address(),
                instance_list: self.list.address(),
                weight_store: Some(self.list.address()),
            })
            .build()
    }

    /// Returns the entry of an instance in the platform's list.
    #[must_use]
    pub fn instance(&self, id: u64, peers: net::SocketAddr) -> border::InstanceEntry {
        border::InstanceEntry::builder()
            .id(ids::InstanceId(id))
            .address(peers)
            .region(REGION)
            .data_centre(data_centre(usize::try_from(id).unwrap_or(0)))
            .build()
    }

    /// Returns the note that describes the site as it was started.
    #[must_use]
    pub fn first_note(&self) -> note::ReleaseNote {
        let engines = self.prefill.iter().chain(&self.decode);
        note::ReleaseNote {
            revision: ids::Revision(1),
            base: true,
            part: None,
            added: note::NoteEntries {
                models: vec![note::ModelEntry {
                    name: MODEL.into(),
                    version: VERSION.into(),
                    adapters: Vec::new(),
                }],
                engines: engines.map(|engine| engine.entry().clone()).collect(),
                services: vec![note::ServiceEntry {
                    name: "orders".into(),
                    path_prefix: Some("/orders".to_owned()),
                    host: None,
                }],
                servers: self.order_entries(),
                classes: self.classes(),
                workspaces: ["coilquote", "addis"].map(workspace).into(),
            },
            changed: note::NoteEntries::default(),
            withdrawn: note::NoteNames::default(),
        }
    }

    fn order_entries(&self) -> Vec<note::ServerEntry> {
        let servers = self.orders.iter().enumerate();
        servers
            .map(|(index, server)| note::ServerEntry {
                name: format!("orders-{}", index + 1).into(),
                service: "orders".into(),
                address: server.address(),
                region: REGION.into(),
                data_centre: data_centre(index),
                concurrency: 64,
                leaving: false,
            })
            .collect()
    }

    fn classes(&self) -> Vec<note::RequestClass> {
        let calls = note::CallClass {
            service: "orders".into(),
            routes: vec![
                route("GET", "/", true),
                route("POST", "/confirm", false),
                route("POST", "/lookup", true),
            ],
            timeout_ms: self.figures.call_timeout_ms,
            priority: 2,
        };
        vec![
            generation("quote", 1, 1_500, 60),
            generation("dossier", 0, 4_000, 60),
            note::RequestClass {
                name: "order-calls".into(),
                target: note::ClassTarget::Call(calls),
            },
        ]
    }
}

async fn start_engines(
    fleet: &sync::Arc<engine_fleet::EngineFleet>,
    figures: &site_figures::SiteFigures,
    role: note::EngineRole,
    count: usize,
) -> io::Result<Vec<engine_stand::EngineStand>> {
    let mut engines = Vec::new();
    for index in 0..count {
        let entry = note::EngineEntry::builder()
            .name(format!("{role}-{}", index + 1))
            .address(([127, 0, 0, 1], 0))
            .region(REGION)
            .data_centre(data_centre(index))
            .role(role)
            .models(vec![ids::ModelName::from(MODEL)])
            .decode_slots(20_u32)
            .kv_pieces(KV_PIECES)
            .prefill_tokens_per_second(figures.prefill_tokens_per_second)
            .link_tokens_per_second(figures.link_tokens_per_second)
            .full_batch_token_ms(figures.full_batch_token_ms)
            .retention_ms(RETENTION_MS)
            .fencing(fencing(index))
            .build();
        let loaded = vec![(MODEL.into(), VERSION.into())];
        engines.push(engine_stand::EngineStand::start(fleet, entry, loaded).await?);
    }
    Ok(engines)
}

const fn fencing(index: usize) -> note::FencingSupport {
    if index.is_multiple_of(2) {
        note::FencingSupport::Enforced
    } else {
        note::FencingSupport::Ignored
    }
}

fn data_centre(index: usize) -> ids::DataCentreName {
    format!("dc-{}", index % DATA_CENTRES + 1).into()
}

fn workspace(name: &str) -> note::WorkspaceEntry {
    note::WorkspaceEntry {
        name: name.into(),
        weight: 1,
        in_flight_limit: 1_000,
    }
}

fn route(method: &str, path: &str, idempotent: bool) -> note::RouteRule {
    note::RouteRule {
        method: method.to_owned(),
        path: path.to_owned(),
        idempotent,
    }
}

fn generation(
    name: &str,
    priority: u8,
    first_token_ms: u32,
    token_pace_ms: u32,
) -> note::RequestClass {
    note::RequestClass {
        name: name.into(),
        target: note::ClassTarget::Generation(note::GenerationClass {
            models: vec![MODEL.into()],
            first_token_ms,
            token_pace_ms,
            priority,
            expected_output_tokens: 40,
            output_limit_tokens: 400,
            can_wait_ms: 1_000,
        }),
    }
}
