//! Requests whose heads are as large as they may be.

use crate::{bounded_process, client_crowd, common::fake_worker::Behaviour, node_site};

/// Limits of the smallest instance of the deployments, and few descriptors.
const LIMITS: bounded_process::ProcessLimits = bounded_process::ProcessLimits {
    memory_mb: 88,
    descriptors: 2_000,
};

/// Number of clients.
const CLIENTS: usize = 800;

/// Number of segments of a prompt, below the limit of a head.
const SEGMENTS: usize = 7_000;

// Each segment takes two bytes of the head and more once it is read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn prompts_of_many_segments_stay_within_memory() {
    let mut site = node_site::NodeSite::start(1, LIMITS).await;
    for engine in site.site.prefills.iter().chain(&site.site.decodes) {
        engine.script(std::iter::repeat_n(Behaviour::Hang, 10 * CLIENTS));
    }
    let segments = "a,".repeat(SEGMENTS);
    let head = move |number| {
        format!(
            "POST /draft/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: crowd-{number}\r\n\
             X-Deadline-Ms: 600000\r\nX-Model: m\r\nX-Token-Usage: 100,6500\r\n\
             X-Prompt-Prefix: {segments}\r\nContent-Length: 0\r\n\r\n"
        )
    };
    let payload = client_crowd::ClientPayload::new(head, Vec::new());

    let _crowd = client_crowd::ClientCrowd::gather(site.front(), CLIENTS, payload).await;

    site.assert_serves().await;
}
