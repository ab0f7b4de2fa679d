//! Callers that don't read their answers.

use crate::{bounded_process, client_crowd, common::fake_worker::Behaviour, node_site};

/// Limits of the smallest instance of the deployments, and few descriptors.
const LIMITS: bounded_process::ProcessLimits = bounded_process::ProcessLimits {
    memory_mb: 88,
    descriptors: 400,
};

/// Size of the buffer into which the system receives for a client, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;

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

// Each client has a large answer of which nobody reads a byte, and another one behind it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_answers_that_nobody_reads_leave_room_for_large_ones() {
    let mut site = node_site::NodeSite::start(1, LIMITS).await;
    for server in &site.site.servers {
        let behaviour = Behaviour::Large(LARGE_ANSWER_BYTES);
        server.script(std::iter::repeat_n(behaviour, 1_000));
    }
    let request = client_crowd::sized_head("/order/x", 0, 0).into_bytes();
    let payload = client_crowd::ClientPayload::new(|_| String::new(), request);

    let _crowd = client_crowd::ClientCrowd::gather(site.front(), 12, payload.repeated(4)).await;

    site.process().settle().await;
    for server in &site.site.servers {
        server.clear_script();
        server.script([Behaviour::Large(LARGE_ANSWER_BYTES)]);
    }
    let request = client_crowd::sized_head("/order/x", 1_000, 0);
    let status = node_site::send_bytes(site.front(), request.as_bytes()).await;
    assert_eq!(status, Some(200), "a large answer that is read");
    for server in &site.site.servers {
        server.clear_script();
    }
    site.assert_serves().await;
}

// Answers below the size from which they are counted one by one, on many connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_small_answers_that_nobody_reads_stay_within_memory() {
    let limits = bounded_process::ProcessLimits {
        descriptors: 4_000,
        ..LIMITS
    };
    let mut site = node_site::NodeSite::start(1, limits).await;
    for server in &site.site.servers {
        server.script(std::iter::repeat_n(Behaviour::Large(60_000), 1_000_000));
    }
    let request = client_crowd::sized_head("/price/x", 0, 0).into_bytes();
    let payload = client_crowd::ClientPayload::new(|_| String::new(), request)
        .receiving(RECEIVE_BUFFER_BYTES);

    let _crowd = client_crowd::ClientCrowd::gather(site.front(), 800, payload.repeated(60)).await;

    site.process().settle().await;
    for server in &site.site.servers {
        server.clear_script();
    }
    site.assert_serves().await;
}
