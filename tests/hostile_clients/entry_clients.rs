//! Clients of a process that runs with the project's own interface.

use std::{ffi, fs, net, path, process, time};

use crate::{bounded_process, client_crowd, node_site};

/// Limits of an instance.
const LIMITS: bounded_process::ProcessLimits = bounded_process::ProcessLimits {
    memory_mb: 128,
    descriptors: 200,
};

/// Largest sum of all bodies in the settings, in bytes.
const HELD_BYTES: usize = 16 * 1024 * 1024;

/// Timeouts of clients in the settings in milliseconds, longer than any test.
const LONG_TIMEOUT_MS: u64 = 600_000;

/// Size of a body that stops short of its end, in bytes.
const BODY_BYTES: usize = 4 * 1024 * 1024 - 64 * 1024;

/// Size of an answer of which a client reads nothing, in bytes.
const LARGE_ANSWER_BYTES: usize = 2_000_000;

/// Size of the buffer into which the system receives for a client, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;

/// Size of a small body that stops short of its end, in bytes.
const SMALL_BODY_BYTES: usize = 9_000;

/// Size of the prompt of an ordinary request, in bytes.
const ORDINARY_PROMPT_BYTES: usize = 12_000;

/// Time for the answer to an ordinary request.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// A site with one process; its test is the only one that runs.
struct EntrySite {
    site: fakes::SiteStand,
    process: bounded_process::BoundedProcess,
    settings: settings::InstanceSettings,
    _turn: tokio::sync::MutexGuard<'static, ()>,
}

impl EntrySite {
    async fn start(case: &str, limits: bounded_process::ProcessLimits, held_bytes: usize) -> Self {
        let turn = node_site::wait_for_turn().await;
        let site = fakes::SiteStand::start(fakes::SiteFigures::default())
            .await
            .expect("the fake site starts");
        let settings = low_limits(site.settings(1), held_bytes);
        site.list.set(vec![site.instance(1, settings.listen.peers)]);
        let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let file = directory.join(format!("hostile-{case}.yaml"));
        // The settings format is YAML, and JSON is a subset of it.
        let text = serde_json::to_string(&settings).expect("settings can be serialized");
        fs::write(&file, text).expect("the temporary directory of the tests is writable");
        let process = bounded_process::BoundedProcess::start(
            &["serve".as_ref(), "--settings".as_ref(), file.as_os_str()],
            ("LANG", ffi::OsStr::new("C")),
            limits,
            process::Stdio::null(),
        );
        let site = Self {
            site,
            process,
            settings,
            _turn: turn,
        };
        site.wait_ready().await;
        site
    }

    async fn wait_ready(&self) {
        for _ in 0..500 {
            if self.is_ready().await {
                return;
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        panic!("the process did not become ready");
    }

    async fn is_ready(&self) -> bool {
        let client = admin::AdminClient::new(self.settings.listen.admin);
        let asking = tokio::time::timeout(ANSWER_TIMEOUT, client.state());
        matches!(asking.await, Ok(Ok(state)) if state.instance.ready)
    }

    async fn assert_serves(&mut self) {
        self.process.settle().await;
        let caller = fakes::SiteCaller::new("coilquote");
        let prompt = format!(
            "#spring out=10 draft a quote {}",
            "x".repeat(ORDINARY_PROMPT_BYTES)
        );
        let chat = caller.chat(self.settings.listen.callers, "quote", &prompt);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, chat).await;
        let status = answer.map(|answer| answer.map(|answer| answer.status.as_u16()));
        assert!(
            matches!(status, Ok(Ok(200))),
            "an ordinary request: {status:?}"
        );
        assert!(self.is_ready().await, "the operator's page");
        self.process.assert_within_limits();
    }
}

fn low_limits(
    mut settings: settings::InstanceSettings,
    held_bytes: usize,
) -> settings::InstanceSettings {
    settings.listen.admin = free_address();
    settings.listen.callers = free_address();
    settings.listen.peers = free_address();
    settings.instance.peer_address = settings.listen.peers;
    settings.limits.held_bytes = held_bytes;
    settings.limits.body_bytes = settings.limits.body_bytes.min(held_bytes);
    settings.limits.header_timeout_ms = LONG_TIMEOUT_MS;
    settings.limits.body_timeout_ms = LONG_TIMEOUT_MS;
    settings
}

/// Returns a loopback address with a port that is free at the time of the call.
fn free_address() -> net::SocketAddr {
    net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
        .and_then(|listener| listener.local_addr())
        .expect("loopback has a free port")
}

fn silent_payload() -> client_crowd::ClientPayload {
    client_crowd::ClientPayload::new(|_| String::new(), Vec::new())
}

fn chat_payload(body_bytes: usize, chunk_bytes: usize) -> client_crowd::ClientPayload {
    let head = |_| {
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Workspace: coilquote\r\n\
         Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            .to_owned()
    };
    client_crowd::ClientPayload::new(head, client_crowd::chunks(body_bytes, chunk_bytes))
}

// All bodies together exceed the bound on their sum, and what they leave is less than a request needs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_unfinished_bodies_leave_room_for_callers() {
    let limits = bounded_process::ProcessLimits {
        descriptors: 1_000,
        ..LIMITS
    };
    let mut site = EntrySite::start("small", limits, 1024 * 1024).await;
    let payload = chat_payload(SMALL_BODY_BYTES, 1_000);

    let address = site.settings.listen.callers;
    let _crowd = client_crowd::ClientCrowd::gather(address, 180, payload).await;

    site.assert_serves().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies_leave_room_for_callers() {
    for chunk_bytes in [64 * 1024, 1_000] {
        let mut site = EntrySite::start("bodies", LIMITS, HELD_BYTES).await;
        let payload = chat_payload(BODY_BYTES, chunk_bytes);

        let _crowd =
            client_crowd::ClientCrowd::gather(site.settings.listen.callers, 40, payload).await;

        site.assert_serves().await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_that_nobody_reads_stay_within_memory() {
    let mut site = EntrySite::start("answers", LIMITS, HELD_BYTES).await;
    for server in &site.site.orders {
        server.behave(fakes::ServiceBehaviour::AnswerLarge(LARGE_ANSWER_BYTES));
    }
    let request = "GET /orders/stock/1 HTTP/1.1\r\nHost: x\r\nX-Workspace: coilquote\r\n\r\n";
    let payload = client_crowd::ClientPayload::new(|_| String::new(), request.into())
        .repeated(40)
        .receiving(RECEIVE_BUFFER_BYTES);

    let address = site.settings.listen.callers;
    let _crowd = client_crowd::ClientCrowd::gather(address, 80, payload).await;

    site.assert_serves().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_leave_descriptors_for_callers() {
    let mut site = EntrySite::start("connections", LIMITS, HELD_BYTES).await;

    let address = site.settings.listen.callers;
    let _crowd = client_crowd::ClientCrowd::gather(address, 400, silent_payload()).await;

    site.assert_serves().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_of_operators_leave_descriptors() {
    let mut site = EntrySite::start("operators", LIMITS, HELD_BYTES).await;

    let address = site.settings.listen.admin;
    let _crowd = client_crowd::ClientCrowd::gather(address, 400, silent_payload()).await;

    site.assert_serves().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_of_instances_leave_descriptors() {
    let mut site = EntrySite::start("peers", LIMITS, HELD_BYTES).await;

    let address = site.settings.listen.peers;
    let _crowd = client_crowd::ClientCrowd::gather(address, 400, silent_payload()).await;

    site.assert_serves().await;
}
