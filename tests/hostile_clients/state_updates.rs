//! Datagrams that aren't state updates.

use std::{net, sync, sync::atomic, thread};

use crate::{bounded_process, common::site, node_site};

/// Limits of the smallest instance of the deployments, and few descriptors.
const LIMITS: bounded_process::ProcessLimits = bounded_process::ProcessLimits {
    memory_mb: 88,
    descriptors: 400,
};

/// Number of threads that send.
const SENDERS: usize = 3;

/// Sends datagrams until `stop` is set.
fn send_datagrams(address: net::SocketAddr, stop: &atomic::AtomicBool) {
    let socket = net::UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    while !stop.load(atomic::Ordering::Relaxed) {
        // The receiver's buffer may be full.
        let _sent = socket.send_to(&[0xff; 200], address);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ordinary_call_is_answered_while_datagrams_arrive_without_end() {
    let mut site = node_site::NodeSite::start(1, LIMITS).await;
    let address = (site.ip(), site::PEER_PORT).into();
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let senders: Vec<_> = (0..SENDERS)
        .map(|_| {
            let stop = sync::Arc::clone(&stop);
            thread::spawn(move || send_datagrams(address, &stop))
        })
        .collect();

    let status = site.ordinary_status().await;

    stop.store(true, atomic::Ordering::Relaxed);
    for sender in senders {
        sender.join().expect("the senders don't panic");
    }
    assert_eq!(status, Some(200));
    site.assert_serves().await;
}
