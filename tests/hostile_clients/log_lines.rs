//! Requests whose log lines are long.

use std::process;

use crate::{bounded_process, client_crowd, node_site};

/// Limits of a small instance.
const LIMITS: bounded_process::ProcessLimits = bounded_process::ProcessLimits {
    memory_mb: 60,
    descriptors: 1_000,
};

/// Length of an id, below the limit of a head, in bytes.
const ID_BYTES: usize = 15_000;

// Lines wait in a queue as long as nothing reads the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_request_ids_stay_within_memory_while_nothing_reads_the_log() {
    let mut site = node_site::NodeSite::start_logging(1, LIMITS, process::Stdio::piped).await;
    let id = "i".repeat(ID_BYTES);
    let request = format!(
        "GET /nowhere/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 600000\r\n\r\n"
    );
    let payload = client_crowd::ClientPayload::new(|_| String::new(), request.into_bytes());

    let _crowd = client_crowd::ClientCrowd::gather(site.front(), 100, payload.repeated(100)).await;

    site.assert_serves().await;
}
