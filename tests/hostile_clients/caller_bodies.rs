//! Bodies of callers that fill the memory of a process.

use crate::{
    bounded_process, client_crowd,
    common::fake_worker::Behaviour,
    node_site::{self, MAX_BODY_BYTES},
};

/// Limits of the smallest instance of the deployments, and few descriptors.
const LIMITS: bounded_process::ProcessLimits = bounded_process::ProcessLimits {
    memory_mb: 88,
    descriptors: 1_000,
};

/// Size of a large chunk, and what large bodies lack, in bytes.
const LARGE_CHUNK_BYTES: usize = 64 * 1024;

fn chunked_payload(body_bytes: usize, chunk_bytes: usize) -> client_crowd::ClientPayload {
    client_crowd::ClientPayload::new(
        |number| client_crowd::chunked_head("/order/x", number),
        client_crowd::chunks(body_bytes, chunk_bytes),
    )
}

fn sized_payload(sent_bytes: usize) -> client_crowd::ClientPayload {
    client_crowd::ClientPayload::new(
        |number| client_crowd::sized_head("/order/x", number, MAX_BODY_BYTES),
        vec![b'x'; sent_bytes],
    )
}

/// Lets clients send a payload and stay, and checks the process meanwhile.
async fn assert_serves_beside(count: usize, payload: client_crowd::ClientPayload) {
    let mut site = node_site::NodeSite::start(1, LIMITS).await;

    let _crowd = client_crowd::ClientCrowd::gather(site.front(), count, payload).await;

    site.assert_serves().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies_in_large_chunks_stay_within_memory() {
    let body_bytes = MAX_BODY_BYTES - LARGE_CHUNK_BYTES;
    assert_serves_beside(40, chunked_payload(body_bytes, LARGE_CHUNK_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies_with_a_length_stay_within_memory() {
    assert_serves_beside(40, sized_payload(MAX_BODY_BYTES - LARGE_CHUNK_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies_in_chunks_of_a_byte_stay_within_memory() {
    assert_serves_beside(10, chunked_payload(400_000, 1)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_small_unfinished_bodies_in_chunks_of_a_byte_stay_within_memory() {
    assert_serves_beside(400, chunked_payload(10_000, 1)).await;
}

// Each body is below any bound on a single one, and all together exceed the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_middling_unfinished_bodies_stay_within_memory() {
    assert_serves_beside(800, chunked_payload(120_000, 1_000)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_that_come_again_find_the_same_room() {
    let mut site = node_site::NodeSite::start(1, LIMITS).await;
    let body_bytes = MAX_BODY_BYTES - LARGE_CHUNK_BYTES;
    for _ in 0..3 {
        for chunk_bytes in [LARGE_CHUNK_BYTES, 1_000] {
            let payload = chunked_payload(body_bytes, chunk_bytes);

            let crowd = client_crowd::ClientCrowd::gather(site.front(), 24, payload).await;

            site.assert_serves().await;
            drop(crowd);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies_whose_workers_are_silent_stay_within_memory() {
    let mut site = node_site::NodeSite::start(1, LIMITS).await;
    for server in &site.site.servers {
        server.script(std::iter::repeat_n(Behaviour::Hang, 100));
    }

    let payload = sized_payload(MAX_BODY_BYTES);
    let _crowd = client_crowd::ClientCrowd::gather(site.front(), 40, payload).await;

    site.process().settle().await;
    for server in &site.site.servers {
        server.clear_script();
    }
    site.assert_serves().await;
}

// The largest body in the smallest chunks is within the limits of the protocol.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_largest_body_in_chunks_of_a_byte_is_served() {
    let mut site = node_site::NodeSite::start(1, LIMITS).await;
    let mut request = client_crowd::chunked_head("/order/x", 0).into_bytes();
    request.extend(client_crowd::chunks(MAX_BODY_BYTES, 1));
    request.extend_from_slice(b"0\r\n\r\n");

    let status = node_site::send_bytes(site.front(), &request).await;

    assert_eq!(status, Some(200));
    let received: usize = site
        .site
        .servers
        .iter()
        .map(|server| {
            let requests = server.requests();
            requests
                .iter()
                .map(|request| request.body.len())
                .sum::<usize>()
        })
        .sum();
    assert_eq!(received, MAX_BODY_BYTES);
    site.assert_serves().await;
}

// Chunk extensions and trailers carry nothing of the body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_chunk_extensions_and_trailers_stay_within_memory() {
    let mut site = node_site::NodeSite::start(1, LIMITS).await;
    for start in ["1;name=", "0\r\nname: "] {
        let payload = client_crowd::ClientPayload::new(
            move |number| client_crowd::chunked_head("/order/x", number) + start,
            vec![b'x'; LARGE_CHUNK_BYTES],
        );

        let crowd =
            client_crowd::ClientCrowd::gather(site.front(), 20, payload.repeated(100)).await;

        site.assert_serves().await;
        drop(crowd);
    }
}

// The process has to read the chunks of the crowd and the ordinary request at the same time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ordinary_call_is_answered_while_chunks_of_a_byte_arrive() {
    let mut site = node_site::NodeSite::start(1, LIMITS).await;
    let payload = chunked_payload(1_000_000, 1);
    let gathering = client_crowd::ClientCrowd::gather(site.front(), 20, payload);
    let crowd = tokio::spawn(gathering);

    let status = site.ordinary_status().await;

    assert_eq!(status, Some(200));
    let _crowd = crowd.await.expect("the clients don't panic");
    site.assert_serves().await;
}
