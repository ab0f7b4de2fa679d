//! Clients of the ports for readiness, metrics and views.

use std::net;

use crate::{bounded_process, client_crowd, common::site, node_site};

/// Port of the metrics page.
const METRICS_PORT: u16 = 9_400;

/// Limits of the smallest instance of the deployments, and few descriptors.
const LIMITS: bounded_process::ProcessLimits = bounded_process::ProcessLimits {
    memory_mb: 88,
    descriptors: 100,
};

/// Bytes of a body without end that a client sends, more than the process may hold.
const ENDLESS_BYTES: usize = 160 * 1024 * 1024;

fn page_addresses(ip: net::Ipv4Addr) -> [net::SocketAddr; 3] {
    [
        site::readiness_address(ip),
        (ip, site::PEER_PORT).into(),
        (ip, METRICS_PORT).into(),
    ]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_bodies_to_pages_stay_within_memory() {
    let mut site = node_site::NodeSite::start(1, LIMITS).await;
    for address in page_addresses(site.ip()) {
        for path in ["/", "/view", "/readiness", "/metrics"] {
            let chunk = client_crowd::chunks(1024 * 1024, 1024 * 1024);
            let payload = client_crowd::ClientPayload::new(
                move |number| client_crowd::chunked_head(path, number),
                chunk,
            )
            .repeated(ENDLESS_BYTES / (1024 * 1024));

            let _crowd = client_crowd::ClientCrowd::gather(address, 1, payload).await;

            assert_eq!(node_site::readiness(site.ip()).await, Some(200));
        }
    }
    site.assert_serves().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_to_pages_leave_descriptors() {
    for port in 0..3 {
        let mut site = node_site::NodeSite::start(1, LIMITS).await;
        let address = page_addresses(site.ip())[port];
        let payload = client_crowd::ClientPayload::new(|_| String::new(), Vec::new());

        let _crowd = client_crowd::ClientCrowd::gather(address, 200, payload).await;

        assert_eq!(node_site::readiness(site.ip()).await, Some(200));
        site.assert_serves().await;
    }
}
