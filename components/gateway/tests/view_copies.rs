//! Copies of another instance's view over slow links.

use std::{io, net, sync, time};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Port at which the instances of these tests serve their views.
const PEER_PORT: u16 = 17_990;

/// Time between two pieces of a body.
const PIECE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// A store that refuses every read.
struct RefusingStore;

#[async_trait::async_trait]
impl gateway::SiteSource for RefusingStore {
    async fn read(&self, _after: Option<u64>) -> Result<relay::ViewUpdate, gateway::SourceError> {
        Err(gateway::SourceError::Refused { status: 503 })
    }

    async fn history(&self) -> Result<relay::ListHistory, gateway::SourceError> {
        Err(gateway::SourceError::Refused { status: 503 })
    }
}

fn view(version: u64) -> relay::SiteView {
    let config = relay::SiteConfig {
        version,
        ..relay::SiteConfig::default()
    };
    relay::SiteView {
        position: relay::ViewPosition::new(0, 10),
        config: Some(sync::Arc::new(config)),
        backends: relay::BackendMap::new(),
        ..relay::SiteView::default()
    }
}

/// Starts an instance that sends its view in `pieces` pieces, after which the answer ends if it has
/// a length.
async fn start_peer(address: net::Ipv4Addr, pieces: usize, has_end: bool) {
    let listener = tokio::net::TcpListener::bind((address, PEER_PORT))
        .await
        .expect("the address is free");
    let body = serde_json::to_vec(&view(7)).expect("the view is JSON");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(send_view(stream, body.clone(), pieces, has_end));
        }
    });
}

async fn send_view(
    mut stream: tokio::net::TcpStream,
    body: Vec<u8>,
    pieces: usize,
    has_end: bool,
) -> io::Result<()> {
    let _request = stream.read(&mut [0; 4_096]).await?;
    let length = if has_end { body.len() } else { usize::MAX >> 8 };
    let head = format!("HTTP/1.1 200 OK\r\nview-age-ms: 5\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    for piece in body.chunks(body.len().div_ceil(pieces)) {
        tokio::time::sleep(PIECE_INTERVAL).await;
        stream.write_all(piece).await?;
    }
    if has_end {
        return Ok(());
    }
    loop {
        tokio::time::sleep(PIECE_INTERVAL).await;
        stream.write_all(b" ").await?;
    }
}

/// Starts the reader of an instance without a view, to which the others have announced theirs.
fn start_reader(peers: &[net::Ipv4Addr]) -> sync::Arc<gateway::SharedCore> {
    let clock: sync::Arc<dyn clock::ClockSource> = sync::Arc::new(clock::SystemClock::start());
    let mut core = relay::RelayCore::new(
        relay::CoreSettings::builder()
            .address(net::Ipv4Addr::LOCALHOST)
            .incarnation(1)
            .data_centre("a".into())
            .seed(7)
            .retry_bound(retry::RetryBound {
                ratio: 0.2,
                slack: 50.0,
                window: time::Duration::from_secs(10),
            })
            .build(),
    );
    for peer in peers {
        core.apply_update(clock.now(), update(*peer, 1));
    }
    let core = sync::Arc::new(gateway::SharedCore::new(core, sync::Arc::clone(&clock)));
    let writer = logs::LineWriter::start(io::sink()).expect("the log writer starts");
    let log = gateway::DecisionLog::new("reader", sync::Arc::clone(&clock), writer);
    let reader = gateway::ViewReader::new(
        sync::Arc::clone(&core),
        sync::Arc::new(RefusingStore),
        sync::Arc::new(log),
        sync::Arc::default(),
        client::ConnectionPool::new(client::PoolSettings::default(), clock),
        PEER_PORT,
    );
    tokio::spawn(reader.run());
    tokio::spawn(keep_alive(sync::Arc::clone(&core), peers.to_vec()));
    core
}

/// Applies state updates of the peers at intervals, so that they count as alive.
async fn keep_alive(core: sync::Arc<gateway::SharedCore>, peers: Vec<net::Ipv4Addr>) {
    for sequence in 2.. {
        tokio::time::sleep(time::Duration::from_millis(250)).await;
        for peer in &peers {
            core.decide(|core, now| core.apply_update(now, update(*peer, sequence)));
        }
    }
}

fn update(peer: net::Ipv4Addr, sequence: u64) -> relay::InstanceUpdate {
    relay::InstanceUpdate::builder()
        .address(peer)
        .incarnation(1)
        .sequence(sequence)
        .position(relay::ViewPosition::new(0, 10))
        .config_version(7)
        .fingerprint(view(7).fingerprint())
        .build()
}

/// Returns whether the instance has the configuration within `limit`.
async fn is_in_force(core: &gateway::SharedCore, limit: time::Duration) -> bool {
    let wait = async {
        while core.decide(|core, _| core.tracker().view().config_version()) != 7 {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(limit, wait).await.is_ok()
}

#[tokio::test]
async fn view_is_given_up_while_its_bytes_arrive_over_a_slow_link() {
    let peer = net::Ipv4Addr::new(127, 9, 1, 1);
    start_peer(peer, 12, true).await;

    let core = start_reader(&[peer]);

    assert!(is_in_force(&core, time::Duration::from_secs(3)).await);
}

#[tokio::test]
async fn view_without_end_keeps_an_instance_from_copying_another() {
    let [endless, whole] = [2, 3].map(|host| net::Ipv4Addr::new(127, 9, 1, host));
    start_peer(endless, 2, false).await;
    start_peer(whole, 2, true).await;

    let core = start_reader(&[endless, whole]);

    assert!(is_in_force(&core, time::Duration::from_secs(8)).await);
}
