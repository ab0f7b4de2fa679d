//! Starts an instance.

use std::{net, sync, sync::atomic, thread, time};

use tokio::sync::{mpsc, oneshot};

use crate::{
    action_runner, address_book, admin_source, border_set, control_loop, core_meter, core_port,
    daemon_error, daemon_handle, daemon_options, intake_watch, outage_log, peer_port,
    placement_spans,
};

/// Messages of peers that may wait for the control thread.
const MESSAGE_QUEUE: usize = 4_096;

/// Time between two readings of the weight store's limit.
const STORE_INTERVAL: time::Duration = time::Duration::from_secs(60);

/// Time between two sweeps of unused connections.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Time between two readings of the counts of messages between instances.
const STATS_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Starts instances.
pub struct Daemon;

/// A listener with its address.
struct BoundListener {
    listener: net::TcpListener,
    address: net::SocketAddr,
}

impl Daemon {
    /// Starts an instance in this process.
    ///
    /// # Errors
    ///
    /// Returns [`daemon_error::DaemonError`] when an address can't be listened on or a thread
    /// can't be started.
    pub fn start(
        settings: settings::InstanceSettings,
        options: &daemon_options::DaemonOptions,
    ) -> Result<daemon_handle::DaemonHandle, daemon_error::DaemonError> {
        let clock: sync::Arc<dyn clock::ClockSource> = sync::Arc::new(clock::SystemClock::start());
        let callers = bind(settings.listen.callers)?;
        let traffic = traffic_runtime(options)?;
        let pool = client::ConnectionPool::new(pool_settings(&settings), sync::Arc::clone(&clock));
        let intake = intake::Intake::new(intake_limits(&settings), sync::Arc::clone(&clock));
        let memory = client::AnswerMemory::new(settings.limits.held_bytes);
        let memory = memory.relieved_by(sync::Arc::clone(&intake));
        let borders = border_set::BorderSet::over_http(&settings, &pool, memory);
        let shares = control_loop::ControlShares {
            clock: sync::Arc::clone(&clock),
            state: sync::Arc::default(),
            snapshot: sync::Arc::default(),
            ready: sync::Arc::new(atomic::AtomicBool::new(false)),
            book: sync::Arc::default(),
        };
        let incarnation = ids::Incarnation(clock.wall_millis());
        let (port, events) = core_port::CorePort::new();
        let (message_sender, messages) = mpsc::channel(MESSAGE_QUEUE);
        let hub = peer_hub(&traffic, &settings, (incarnation, &intake), message_sender)?;
        let meter = meter::Meter::default();
        let timeouts = intake::IntakeTimeouts {
            head: time::Duration::from_millis(settings.limits.header_timeout_ms),
            unread: options.caller_patience,
        };
        let (commands, command_receiver) = mpsc::unbounded_channel();
        let core = core(&settings, hub.address(), incarnation, options);
        let context = entry_context(&settings, &shares, port.clone(), incarnation);
        let runner = action_runner::ActionRunner {
            own: settings.instance.id,
            traffic: traffic.handle().clone(),
            borders: borders.clone(),
            book: sync::Arc::clone(&shares.book),
            port: port.clone(),
            peers: Box::new(peer_port::HubPort {
                hub: sync::Arc::clone(&hub),
            }),
            addresses: address_book::AddressBook::default(),
            caller_patience: options.caller_patience,
            placements: placement_spans::PlacementSpans::default(),
            list_outages: outage_log::OutageLog::new("instance list"),
            note_outages: outage_log::OutageLog::new("configuration service"),
        };
        let control = control_loop::ControlLoop {
            core,
            runner,
            shares: shares.clone(),
            events,
            messages,
            commands: command_receiver,
            meter: core_meter::CoreMeter::new(meter.clone()),
            progress: control_loop::LoopProgress::default(),
        };
        let source = admin_source::AdminSource {
            own: settings.instance.id,
            incarnation,
            place: settings.instance.clone(),
            snapshot: sync::Arc::clone(&shares.snapshot),
        };
        let admin =
            admin::AdminServer::bind(settings.listen.admin, sync::Arc::new(source), meter.clone())?;
        let admin = admin.with_intake(sync::Arc::clone(&intake));
        let admin_address = admin.address();
        traffic.spawn(admin.run(std::future::pending()));
        traffic.spawn(share_stats(sync::Arc::clone(&hub), meter));
        let (entry_stop, stop) = oneshot::channel::<()>();
        let server = entry_server(&traffic, callers.listener, &intake, context)
            .map_err(|source| listen_error(callers.address, source))?;
        let entry_done = traffic.spawn(server.run(async {
            // A dropped sender stops the listener, too.
            let _ = stop.await;
        }));
        traffic.spawn(sweep_connections(pool));
        traffic.spawn(intake_watch::run(intake, timeouts));
        traffic.spawn(read_store(borders.store, port));
        start_control(control)?;
        Ok(daemon_handle::DaemonHandle {
            callers: callers.address,
            admin: admin_address,
            hub,
            snapshot: shares.snapshot,
            ready: shares.ready,
            commands,
            traffic: Some(traffic),
            entry_stop: Some(entry_stop),
            entry_done: Some(entry_done),
            drain_bound: time::Duration::from_millis(settings.drain.timeout_ms),
        })
    }
}

fn bind(address: net::SocketAddr) -> Result<BoundListener, daemon_error::DaemonError> {
    let listener =
        net::TcpListener::bind(address).map_err(|source| listen_error(address, source))?;
    let bound = listener
        .set_nonblocking(true)
        .and_then(|()| listener.local_addr())
        .map_err(|source| listen_error(address, source))?;
    Ok(BoundListener {
        listener,
        address: bound,
    })
}

const fn listen_error(
    address: net::SocketAddr,
    source: std::io::Error,
) -> daemon_error::DaemonError {
    daemon_error::DaemonError::Listen { address, source }
}

fn traffic_runtime(
    options: &daemon_options::DaemonOptions,
) -> Result<tokio::runtime::Runtime, daemon_error::DaemonError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(options.traffic_threads.max(1))
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(|source| daemon_error::DaemonError::Thread {
            thread: "traffic",
            source,
        })
}

fn pool_settings(settings: &settings::InstanceSettings) -> client::PoolSettings {
    client::PoolSettings::builder()
        .connect_timeout(time::Duration::from_millis(settings.timeouts.connect_ms))
        .build()
}

fn peer_hub(
    traffic: &tokio::runtime::Runtime,
    settings: &settings::InstanceSettings,
    (incarnation, intake): (ids::Incarnation, &sync::Arc<intake::Intake>),
    messages: mpsc::Sender<(ids::InstanceId, wire::PeerMessage)>,
) -> Result<sync::Arc<peer::PeerHub>, daemon_error::DaemonError> {
    let _guard = traffic.enter();
    let config = peer::PeerConfig::builder()
        .own(settings.instance.id)
        .incarnation(incarnation)
        .listen(settings.listen.peers)
        .connect_timeout(time::Duration::from_millis(settings.timeouts.connect_ms))
        .intake(sync::Arc::clone(intake))
        .build();
    let hub = peer::PeerHub::start(config, messages)?;
    Ok(sync::Arc::new(hub))
}

fn core(
    settings: &settings::InstanceSettings,
    peers: net::SocketAddr,
    incarnation: ids::Incarnation,
    options: &daemon_options::DaemonOptions,
) -> control::ControlCore {
    let place = &settings.instance;
    let mut address = place.peer_address;
    if address.port() == 0 {
        address.set_port(peers.port());
    }
    let own = border::InstanceEntry::builder()
        .id(place.id)
        .address(address)
        .region(place.region.clone())
        .data_centre(place.data_centre.clone())
        .build();
    let config = control::CoreConfig::builder()
        .own(own)
        .incarnation(incarnation)
        .seed(options.seed.unwrap_or(incarnation.0))
        .maybe_key_retention(options.key_retention)
        .build();
    control::ControlCore::new(config)
}

fn entry_context(
    settings: &settings::InstanceSettings,
    shares: &control_loop::ControlShares,
    port: core_port::CorePort,
    incarnation: ids::Incarnation,
) -> entry::EntryContext {
    entry::EntryContext::builder()
        .port(sync::Arc::new(port))
        .book(sync::Arc::clone(&shares.book))
        .state(sync::Arc::clone(&shares.state))
        .ready(sync::Arc::clone(&shares.ready))
        .limits(settings.limits.clone())
        .workspace_header(settings.workspace_header.clone())
        .gate(entry::LoadGate::new(&settings.limits))
        .numbers(entry::RequestNumbers::new(
            settings.instance.id,
            incarnation,
        ))
        .clock(sync::Arc::clone(&shares.clock))
        .build()
}

fn entry_server(
    traffic: &tokio::runtime::Runtime,
    listener: net::TcpListener,
    intake: &sync::Arc<intake::Intake>,
    context: entry::EntryContext,
) -> std::io::Result<entry::EntryServer> {
    let _guard = traffic.enter();
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let class = intake::ConnectionClass::Caller;
    let listener = intake::ConnectionListener::new(listener, sync::Arc::clone(intake), class);
    Ok(entry::EntryServer::new(listener, sync::Arc::new(context)))
}

/// Returns the limits of what clients may make the instance hold. Three quarters of the memory are the
/// bodies of the settings; the rest is for small ones alone.
fn intake_limits(settings: &settings::InstanceSettings) -> intake::IntakeLimits {
    let descriptors = intake::system_descriptors().unwrap_or(intake::DEFAULT_DESCRIPTORS);
    intake::IntakeLimits::builder()
        .memory_bytes(settings.limits.held_bytes.saturating_add(3) / 3 * 4)
        .connection_bytes(0)
        .serving_bytes(0)
        .descriptors(descriptors)
        .build()
}

fn start_control(control: control_loop::ControlLoop) -> Result<(), daemon_error::DaemonError> {
    let thread_error = |source| daemon_error::DaemonError::Thread {
        thread: "control",
        source,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(thread_error)?;
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(control.run()))
        .map_err(thread_error)?;
    Ok(())
}

async fn share_stats(hub: sync::Arc<peer::PeerHub>, meter: meter::Meter) {
    loop {
        tokio::time::sleep(STATS_INTERVAL).await;
        let stats = hub.stats();
        let peers = meter.peers();
        peers.sent(stats.sent_messages, stats.sent_bytes);
        peers.received(stats.received_messages, stats.received_bytes);
        peers.streams(stats.streams_opened, stats.streams_replaced);
        peers.dropped("queue_full", stats.dropped_full);
        peers.dropped("unknown_peer", stats.dropped_unknown);
        peers.dropped("unreachable", stats.dropped_unreachable);
        peers.dropped("inbound_full", stats.dropped_inbound);
        peers.dropped("malformed", stats.dropped_malformed);
    }
}

async fn sweep_connections(pool: sync::Arc<client::ConnectionPool>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        pool.sweep();
    }
}

async fn read_store(store: Option<sync::Arc<dyn border::WeightStore>>, port: core_port::CorePort) {
    let Some(store) = store else {
        return;
    };
    loop {
        match store.loads_per_minute().await {
            Ok(loads) => port.tell(control::Event::WeightLoadLimit(loads)),
            Err(error) => tracing::debug!(%error, "can't read the weight store's limit"),
        }
        tokio::time::sleep(STORE_INTERVAL).await;
    }
}
