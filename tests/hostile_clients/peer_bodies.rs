//! Bodies that arrive from the address of another instance.

use crate::{
    bounded_process, client_crowd,
    common::site,
    node_site::{self, MAX_BODY_BYTES},
};

/// Limits of the smallest instance of the deployments, and few descriptors.
const LIMITS: bounded_process::ProcessLimits = bounded_process::ProcessLimits {
    memory_mb: 88,
    descriptors: 400,
};

/// Port at which an instance serves requests of other instances.
const PROXY_PORT: u16 = site::PEER_PORT + 1;

/// Size of a chunk in bytes.
const CHUNK_BYTES: usize = 1_000;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies_of_another_instance_stay_within_memory() {
    let mut site = node_site::NodeSite::start(2, LIMITS).await;
    let (other, address) = (site.processes[1].0, (site.ip(), PROXY_PORT).into());
    let head = |number| {
        let fields = "Plantainreach-Caller: 127.0.0.1\r\nPlantainreach-Elapsed-Ms: 0\r\n";
        let head = client_crowd::open_head("/order/x", number);
        format!("{head}{fields}Transfer-Encoding: chunked\r\n\r\n")
    };
    let body = client_crowd::chunks(MAX_BODY_BYTES - CHUNK_BYTES, CHUNK_BYTES);
    let payload = client_crowd::ClientPayload::new(head, body);

    let _crowd = client_crowd::ClientCrowd::gather_from(Some(other), address, 40, payload).await;

    site.assert_serves().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_of_another_instance_leave_descriptors() {
    let limits = bounded_process::ProcessLimits {
        descriptors: 100,
        ..LIMITS
    };
    let mut site = node_site::NodeSite::start(2, limits).await;
    let (other, address) = (site.processes[1].0, (site.ip(), PROXY_PORT).into());
    let payload = client_crowd::ClientPayload::new(|_| String::new(), Vec::new());

    let _crowd = client_crowd::ClientCrowd::gather_from(Some(other), address, 200, payload).await;

    site.assert_serves().await;
}
