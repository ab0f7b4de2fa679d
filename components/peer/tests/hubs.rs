//! Hubs carry messages over loopback and survive lost, silent and wrong connections.

mod silent_proxy;

use std::{collections, net, time};

use tokio::sync::mpsc;

/// Longest wait of a test for something that must happen.
const WAIT_LIMIT: time::Duration = time::Duration::from_secs(20);

/// A hub with the messages it has received.
struct TestHub {
    hub: peer::PeerHub,
    inbound: mpsc::Receiver<(ids::InstanceId, wire::PeerMessage)>,
}

fn start_hub(id: u64) -> TestHub {
    start_hub_with(config(id, free_address()), 64)
}

fn start_hub_with(config: peer::PeerConfig, inbound_length: usize) -> TestHub {
    let (sender, inbound) = mpsc::channel(inbound_length);
    let hub = peer::PeerHub::start(config, sender).expect("loopback can be listened on");
    TestHub { hub, inbound }
}

fn config(id: u64, listen: net::SocketAddr) -> peer::PeerConfig {
    peer::PeerConfig::builder()
        .own(ids::InstanceId(id))
        .incarnation(ids::Incarnation(1))
        .listen(listen)
        .silence_timeout(time::Duration::from_millis(200))
        .idle_timeout(time::Duration::from_millis(400))
        .build()
}

fn free_address() -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))
}

fn view(own: u64, peers: &[(u64, net::SocketAddr)]) -> member::MemberView {
    let members: collections::BTreeMap<_, _> = peers
        .iter()
        .map(|(id, address)| (ids::InstanceId(*id), member_entry(*id, *address)))
        .collect();
    member::MemberView {
        own: ids::InstanceId(own),
        members,
        ..Default::default()
    }
}

fn member_entry(id: u64, address: net::SocketAddr) -> member::MemberEntry {
    let instance = border::InstanceEntry::builder()
        .id(ids::InstanceId(id))
        .address(address)
        .region("eu-west")
        .data_centre("a")
        .build();
    member::MemberEntry {
        instance,
        incarnation: ids::Incarnation(1),
        state: member::MemberState::Alive,
    }
}

fn message(number: u64) -> wire::PeerMessage {
    wire::PeerMessage::Member(member::Message::ProbeFor(ids::InstanceId(number)))
}

async fn receive(hub: &mut TestHub) -> (ids::InstanceId, wire::PeerMessage) {
    tokio::time::timeout(WAIT_LIMIT, hub.inbound.recv())
        .await
        .expect("a message arrives in time")
        .expect("the hub lives")
}

/// Waits until a hub's counts fulfil a condition.
async fn wait_for(hub: &TestHub, condition: impl Fn(&peer::PeerStats) -> bool) {
    let start = time::Instant::now();
    while !condition(&hub.hub.stats()) {
        assert!(start.elapsed() < WAIT_LIMIT, "{:?}", hub.hub.stats());
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn messages_travel_both_ways_over_one_stream() {
    let mut first = start_hub(1);
    let mut second = start_hub(2);
    first.hub.set_peers(&view(1, &[(2, second.hub.address())]));
    second.hub.set_peers(&view(2, &[(1, first.hub.address())]));

    first.hub.send(ids::InstanceId(2), message(10));
    let asked = receive(&mut second).await;
    second.hub.send(ids::InstanceId(1), message(20));
    let answered = receive(&mut first).await;

    assert_eq!(asked, (ids::InstanceId(1), message(10)));
    assert_eq!(answered, (ids::InstanceId(2), message(20)));
    assert_eq!(first.hub.stats().streams_opened, 1);
    assert_eq!(second.hub.stats().streams_opened, 0);
}

#[tokio::test]
async fn messages_arrive_in_the_order_in_which_they_were_sent() {
    let first = start_hub(1);
    let mut second = start_hub(2);
    first.hub.set_peers(&view(1, &[(2, second.hub.address())]));

    for number in 0..50 {
        first.hub.send(ids::InstanceId(2), message(number));
    }

    for number in 0..50 {
        assert_eq!(receive(&mut second).await.1, message(number));
    }
}

#[tokio::test]
async fn a_silent_connection_is_replaced_by_a_fresh_one() {
    let first = start_hub(1);
    let mut second = start_hub(2);
    let proxy = silent_proxy::SilentProxy::start(second.hub.address()).await;
    first.hub.set_peers(&view(1, &[(2, proxy.address())]));
    first.hub.send(ids::InstanceId(2), message(1));
    receive(&mut second).await;

    proxy.silence_open_connections();
    first.hub.send(ids::InstanceId(2), message(2));
    wait_for(&first, |stats| stats.streams_replaced == 1).await;
    first.hub.send(ids::InstanceId(2), message(3));

    assert_eq!(receive(&mut second).await.1, message(3));
}

#[tokio::test]
async fn a_peer_that_cannot_be_reached_costs_its_messages_and_nothing_else() {
    let first = start_hub(1);
    let mut second = start_hub(2);
    let closed = net::TcpListener::bind(free_address())
        .and_then(|listener| listener.local_addr())
        .expect("loopback has a free port");
    let peers = [(2, second.hub.address()), (3, closed)];
    first.hub.set_peers(&view(1, &peers));

    first.hub.send(ids::InstanceId(3), message(1));
    first.hub.send(ids::InstanceId(9), message(2));
    first.hub.send(ids::InstanceId(2), message(3));

    assert_eq!(receive(&mut second).await.1, message(3));
    wait_for(&first, |stats| {
        stats.dropped_unreachable == 1 && stats.dropped_unknown == 1
    })
    .await;
}

#[tokio::test]
async fn a_message_meant_for_the_earlier_holder_of_an_address_is_not_delivered() {
    let first = start_hub(1);
    let mut second = start_hub(2);
    first.hub.set_peers(&view(1, &[(7, second.hub.address())]));

    first.hub.send(ids::InstanceId(7), message(1));

    wait_for(&second, |stats| stats.dropped_malformed == 1).await;
    assert!(second.inbound.try_recv().is_err());
}

#[tokio::test]
async fn an_instance_that_cannot_keep_up_drops_messages_and_keeps_its_streams() {
    let first = start_hub(1);
    let second = start_hub_with(config(2, free_address()), 1);
    first.hub.set_peers(&view(1, &[(2, second.hub.address())]));

    for number in 0..10 {
        first.hub.send(ids::InstanceId(2), message(number));
    }

    wait_for(&second, |stats| stats.dropped_inbound == 9).await;
    assert!(first.hub.flush(WAIT_LIMIT).await);
    assert_eq!(first.hub.stats().streams_replaced, 0);
}

#[tokio::test]
async fn an_idle_stream_is_closed_and_opened_again_on_demand() {
    let first = start_hub(1);
    let mut second = start_hub(2);
    first.hub.set_peers(&view(1, &[(2, second.hub.address())]));
    first.hub.send(ids::InstanceId(2), message(1));
    receive(&mut second).await;

    tokio::time::sleep(time::Duration::from_millis(1_000)).await;
    first.hub.send(ids::InstanceId(2), message(2));

    assert_eq!(receive(&mut second).await.1, message(2));
    let stats = first.hub.stats();
    assert_eq!((stats.streams_opened, stats.streams_replaced), (2, 0));
}

#[tokio::test]
async fn a_restarted_peer_is_reached_again_at_its_address() {
    let first = start_hub(1);
    let mut second = start_hub(2);
    let address = second.hub.address();
    first.hub.set_peers(&view(1, &[(2, address)]));
    first.hub.send(ids::InstanceId(2), message(1));
    receive(&mut second).await;

    drop(second);
    let mut second = restart_hub(2, address).await;
    let arrived = send_until_received(&first, &mut second).await;

    assert_eq!(arrived, message(2));
}

/// Starts a hub at an address that is about to become free.
async fn restart_hub(id: u64, address: net::SocketAddr) -> TestHub {
    let start = time::Instant::now();
    loop {
        let (sender, inbound) = mpsc::channel(64);
        match peer::PeerHub::start(config(id, address), sender) {
            Ok(hub) => return TestHub { hub, inbound },
            Err(error) => assert!(start.elapsed() < WAIT_LIMIT, "{error}"),
        }
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

/// Repeats a message, as the state machines do, until it arrives.
async fn send_until_received(from: &TestHub, to: &mut TestHub) -> wire::PeerMessage {
    let start = time::Instant::now();
    loop {
        assert!(start.elapsed() < WAIT_LIMIT, "{:?}", from.hub.stats());
        from.hub.send(ids::InstanceId(2), message(2));
        let wait = time::Duration::from_millis(50);
        if let Ok(Some((_, arrived))) = tokio::time::timeout(wait, to.inbound.recv()).await {
            return arrived;
        }
    }
}
