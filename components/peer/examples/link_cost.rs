//! Measures what messages between instances cost: over streams in use, over streams that are
//! opened for each message, and as datagrams. Prints a table in Markdown.

use std::{collections, fs, net, time};

use prost::Message as _;
use tokio::sync::mpsc;

/// Time of each measurement.
const SPAN: time::Duration = time::Duration::from_secs(5);

/// Clock ticks of the system's processor times in a second.
const TICKS_PER_SECOND: f64 = 100.0;

/// A hub that counts what it receives.
struct CountingHub {
    hub: peer::PeerHub,
}

fn start_hub(id: u64, idle: time::Duration) -> CountingHub {
    let (sender, mut inbound) = mpsc::channel(4_096);
    let config = peer::PeerConfig::builder()
        .own(ids::InstanceId(id))
        .incarnation(ids::Incarnation(1))
        .listen(net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)))
        .idle_timeout(idle)
        .build();
    let hub = peer::PeerHub::start(config, sender).expect("loopback can be listened on");
    tokio::spawn(async move { while inbound.recv().await.is_some() {} });
    CountingHub { hub }
}

fn view(peers: &[CountingHub]) -> member::MemberView {
    let members: collections::BTreeMap<_, _> = (1_u64..)
        .zip(peers)
        .map(|(id, peer)| {
            let instance = border::InstanceEntry::builder()
                .id(ids::InstanceId(id))
                .address(peer.hub.address())
                .region("r")
                .data_centre("d")
                .build();
            let entry = member::MemberEntry {
                instance,
                incarnation: ids::Incarnation(1),
                state: member::MemberState::Alive,
            };
            (ids::InstanceId(id), entry)
        })
        .collect();
    member::MemberView {
        members,
        ..Default::default()
    }
}

fn heartbeat(sequence: u64) -> wire::PeerMessage {
    wire::PeerMessage::Member(member::Message::Probe(member::Heartbeat {
        incarnation: ids::Incarnation(1_764_800_000_000),
        epoch: 0,
        leaving: false,
        sequence,
        updates: Vec::new(),
    }))
}

/// Returns the processor time of the process, in seconds.
fn processor_seconds() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").expect("the system tells processor times");
    let fields: Vec<_> = text
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks: f64 = [11, 12]
        .iter()
        .filter_map(|at| fields[*at].parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_SECOND
}

/// Sends messages at an even rate to peers in turn; returns the microseconds of a message, both
/// ends together.
async fn measure_streams(peers: u64, per_second: u32, idle: time::Duration) -> f64 {
    let sender = start_hub(1_000, idle);
    let receivers: Vec<_> = (1..=peers).map(|id| start_hub(id, idle)).collect();
    sender.hub.set_peers(&view(&receivers));
    let mut ticker = tokio::time::interval(time::Duration::from_secs(1) / per_second);
    let before = processor_seconds();
    let begin = time::Instant::now();
    let mut sent = 0_u64;
    while begin.elapsed() < SPAN {
        ticker.tick().await;
        sent += 1;
        sender
            .hub
            .send(ids::InstanceId(1 + sent % peers), heartbeat(sent));
    }
    sender.hub.flush(time::Duration::from_secs(2)).await;
    let used = processor_seconds() - before;
    let stats = sender.hub.stats();
    eprintln!("{peers} peers, {per_second}/s: {stats:?}");
    used * 1e6 / sent as f64
}

/// Sends the same messages as datagrams.
async fn measure_datagrams(per_second: u32) -> f64 {
    let receiver = tokio::net::UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let sender = tokio::net::UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let target = receiver.local_addr().expect("a socket has an address");
    tokio::spawn(async move {
        let mut buffer = [0; 1_500];
        while let Ok((length, _)) = receiver.recv_from(&mut buffer).await {
            let decoded = wire::proto::Envelope::decode(&buffer[..length]);
            let _ = decoded.map(wire::Envelope::try_from);
        }
    });
    let mut ticker = tokio::time::interval(time::Duration::from_secs(1) / per_second);
    let before = processor_seconds();
    let begin = time::Instant::now();
    let mut sent = 0_u64;
    while begin.elapsed() < SPAN {
        ticker.tick().await;
        sent += 1;
        let envelope = wire::Envelope::builder()
            .sender(ids::InstanceId(1))
            .incarnation(ids::Incarnation(1))
            .receiver(ids::InstanceId(2))
            .sequence(sent)
            .acknowledged(0)
            .message(heartbeat(sent))
            .build();
        let bytes = wire::proto::Envelope::from(envelope).encode_to_vec();
        let _ = sender.send_to(&bytes, target).await;
    }
    (processor_seconds() - before) * 1e6 / sent as f64
}

/// Returns the microseconds of pacing alone, which every figure contains.
async fn measure_pacing(per_second: u32) -> f64 {
    let mut ticker = tokio::time::interval(time::Duration::from_secs(1) / per_second);
    let before = processor_seconds();
    let begin = time::Instant::now();
    let mut ticks = 0_u64;
    while begin.elapsed() < SPAN {
        ticker.tick().await;
        ticks += 1;
    }
    (processor_seconds() - before) * 1e6 / ticks as f64
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let used = time::Duration::from_secs(10);
    let unused = time::Duration::from_millis(50);
    println!("| way | peers | messages/s | µs a message, both ends |");
    println!("|---|---|---|---|");
    for rate in [100, 1_000, 4_000] {
        println!(
            "| pacing alone | | {rate} | {:.1} |",
            measure_pacing(rate).await
        );
    }
    for rate in [100, 1_000, 4_000] {
        println!(
            "| stream in use | 1 | {rate} | {:.1} |",
            measure_streams(1, rate, used).await
        );
    }
    for peers in [10, 50, 200] {
        println!(
            "| stream in use | {peers} | 1000 | {:.1} |",
            measure_streams(peers, 1_000, used).await
        );
    }
    for peers in [10, 50, 200] {
        // Each peer is idle before its next message, so that a stream is opened for each.
        let rate = (u32::try_from(peers).unwrap_or(1) * 5).min(100);
        println!(
            "| stream opened each time | {peers} | {rate} | {:.1} |",
            measure_streams(peers, rate, unused).await
        );
    }
    for rate in [100, 1_000, 4_000] {
        println!(
            "| datagram | 1 | {rate} | {:.1} |",
            measure_datagrams(rate).await
        );
    }
}
