//! Connections of callers that fill the memory and the descriptors of a process.

use crate::{bounded_process, client_crowd, node_site};

/// Limits with which few connections exceed the descriptors.
const FEW_DESCRIPTORS: bounded_process::ProcessLimits = bounded_process::ProcessLimits {
    memory_mb: 88,
    descriptors: 100,
};

/// Limits with which a crowd's heads exceed the memory.
const LITTLE_MEMORY: bounded_process::ProcessLimits = bounded_process::ProcessLimits {
    memory_mb: 40,
    descriptors: 4_100,
};

/// Size of a head below the limit, in bytes.
const HEAD_BYTES: usize = 15_000;

async fn assert_serves_beside(
    limits: bounded_process::ProcessLimits,
    count: usize,
    payload: client_crowd::ClientPayload,
) {
    let mut site = node_site::NodeSite::start(1, limits).await;

    let _crowd = client_crowd::ClientCrowd::gather(site.front(), count, payload).await;

    site.assert_serves().await;
    assert_eq!(node_site::readiness(site.ip()).await, Some(200));
}

fn silent_payload() -> client_crowd::ClientPayload {
    client_crowd::ClientPayload::new(|_| String::new(), Vec::new())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_leave_descriptors_for_callers() {
    assert_serves_beside(FEW_DESCRIPTORS, 200, silent_payload()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_heads_leave_descriptors_for_callers() {
    let head = |number| client_crowd::open_head("/order/x", number);
    let payload = client_crowd::ClientPayload::new(head, Vec::new());
    assert_serves_beside(FEW_DESCRIPTORS, 200, payload).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies_leave_descriptors_for_callers() {
    let head = |number| client_crowd::sized_head("/order/x", number, 600);
    let payload = client_crowd::ClientPayload::new(head, vec![b'x'; 599]);
    assert_serves_beside(FEW_DESCRIPTORS, 200, payload).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_heads_stay_within_memory() {
    let head = |number| client_crowd::open_head("/order/x", number) + "X-Filler: ";
    let payload = client_crowd::ClientPayload::new(head, vec![b'x'; HEAD_BYTES]);
    assert_serves_beside(LITTLE_MEMORY, 1_500, payload).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_of_many_short_lines_stay_within_memory() {
    let mut lines = Vec::new();
    while lines.len() < HEAD_BYTES {
        lines.extend_from_slice(b"a:\r\n");
    }
    let head = |number| client_crowd::open_head("/order/x", number);
    let payload = client_crowd::ClientPayload::new(head, lines);
    assert_serves_beside(LITTLE_MEMORY, 1_500, payload).await;
}
