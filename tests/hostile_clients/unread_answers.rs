//! Callers that don't read their answers.

use crate::{bounded_process, client_crowd, common::fake_worker::Behaviour, node_site};

/// Limits of the smallest instance of the deployments, and few descriptors.
const LIMITS: bounded_process::ProcessLimits = bounded_process::ProcessLimits {
    memory_mb: 88,
    descriptors: 400,
};

/// Size of a large answer in bytes, below the limit of a single one.
const LARGE_ANSWER_BYTES: usize = 3_600_000;

/// Size of the answer to an ordinary request in bytes.
const ORDINARY_ANSWER_BYTES: usize = 1_000_000;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_that_nobody_reads_leave_room_for_others() {
    let mut site = node_site::NodeSite::start(1, LIMITS).await;
    for server in &site.site.servers {
        server.script(std::iter::repeat_n(
            Behaviour::Large(LARGE_ANSWER_BYTES),
            200,
        ));
    }
    let head = |number| client_crowd::sized_head("/order/x", number, 0);
    let payload = client_crowd::ClientPayload::new(head, Vec::new());

    let _crowd = client_crowd::ClientCrowd::gather(site.front(), 40, payload).await;

    site.process().settle().await;
    for server in &site.site.servers {
        server.clear_script();
        server.script([Behaviour::Large(ORDINARY_ANSWER_BYTES)]);
    }
    let request = client_crowd::sized_head("/order/x", 1_000, 0);
    let status = node_site::send_bytes(site.front(), request.as_bytes()).await;
    assert_eq!(status, Some(200), "an ordinary answer");
    for server in &site.site.servers {
        server.clear_script();
    }
    site.assert_serves().await;
}

// The next requests wait on the connection while an answer isn't read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_sent_ahead_whose_answers_nobody_reads_stay_within_memory() {
    let mut site = node_site::NodeSite::start(1, LIMITS).await;
    for server in &site.site.servers {
        server.script(std::iter::repeat_n(Behaviour::Large(500_000), 10_000));
    }
    let request = client_crowd::sized_head("/order/x", 0, 0).into_bytes();
    let payload = client_crowd::ClientPayload::new(|_| String::new(), request);

    let _crowd = client_crowd::ClientCrowd::gather(site.front(), 40, payload.repeated(50)).await;

    site.process().settle().await;
    for server in &site.site.servers {
        server.clear_script();
    }
    site.assert_serves().await;
}
