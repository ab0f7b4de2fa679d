//! A site with processes whose limits are low.

use std::{ffi, fs, net, path, process, time};

use tokio::sync;

use crate::{
    bounded_process,
    common::{caller, message, site},
};

/// Largest body, in bytes; that of the deployments.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Timeout of all routes and of idle clients in milliseconds, longer than any test.
const LONG_TIMEOUT_MS: u64 = 600_000;

/// Time for the answer to an ordinary request.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Held by the test that runs, since the tests measure processes.
static TURN: sync::Mutex<()> = sync::Mutex::const_new(());

/// Waits until no other test of this file runs.
pub async fn wait_for_turn() -> sync::MutexGuard<'static, ()> {
    TURN.lock().await
}

/// A site with one or two processes; its test is the only one that runs.
pub struct NodeSite {
    /// The fakes.
    pub site: site::Site,
    /// The processes, each with its address.
    pub processes: Vec<(net::Ipv4Addr, bounded_process::BoundedProcess)>,
    _turn: sync::MutexGuard<'static, ()>,
}

impl NodeSite {
    /// Starts processes with limits and waits until they are ready.
    pub async fn start(count: usize, limits: bounded_process::ProcessLimits) -> Self {
        Self::start_logging(count, limits, process::Stdio::null).await
    }

    /// Starts processes whose logs go to an output each.
    pub async fn start_logging(
        count: usize,
        limits: bounded_process::ProcessLimits,
        output: impl Fn() -> process::Stdio,
    ) -> Self {
        let turn = wait_for_turn().await;
        let site = site::Site::start().await;
        site.store.put("op/config", config().to_string());
        let ips: Vec<_> = (0..count).map(|_| site::next_address()).collect();
        let mut processes = Vec::new();
        for ip in &ips {
            processes.push((*ip, start_process(&site, *ip, &ips, (limits, output()))));
        }
        for ip in &ips {
            wait_ready(*ip).await;
        }
        Self {
            site,
            processes,
            _turn: turn,
        }
    }

    /// Returns the first process.
    pub fn process(&mut self) -> &mut bounded_process::BoundedProcess {
        &mut self.processes[0].1
    }

    /// Returns the address of the first process.
    pub fn ip(&self) -> net::Ipv4Addr {
        self.processes[0].0
    }

    /// Returns the address of the first process for callers.
    pub fn front(&self) -> net::SocketAddr {
        site::caller_address(self.ip())
    }

    /// Sends an ordinary call to the first process; returns the status of the answer.
    pub async fn ordinary_status(&self) -> Option<u16> {
        ordinary_call(self.ip()).await
    }

    /// Waits until the processes have taken in what clients have sent, and checks that they are
    /// within their limits and answer an ordinary request.
    pub async fn assert_serves(&mut self) {
        for (_, process) in &self.processes {
            process.settle().await;
        }
        let ips: Vec<_> = self.processes.iter().map(|(ip, _)| *ip).collect();
        for ip in ips {
            let status = ordinary_call(ip).await;
            assert_eq!(status, Some(200), "an ordinary call at {ip}");
        }
        for (_, process) in &mut self.processes {
            process.assert_within_limits();
        }
    }
}

/// Sends an ordinary call with a small body to a process; returns the status of the answer.
async fn ordinary_call(ip: net::Ipv4Addr) -> Option<u16> {
    let body = "o".repeat(600);
    let request = caller::request("POST", "/order/x", "ordinary", "", &body);
    let sending = caller::try_send(site::caller_address(ip), &request);
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, sending).await.ok()?;
    Some(answer?.status)
}

/// Sends bytes on a new connection; returns the status of the answer.
pub async fn send_bytes(address: net::SocketAddr, bytes: &[u8]) -> Option<u16> {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let mut stream = tokio::net::TcpStream::connect(address).await.ok()?;
    let exchange = async {
        stream.write_all(bytes).await.ok()?;
        let mut head = vec![0; 4_096];
        let read = stream.read(&mut head).await.ok()?;
        let head = message::parse_head(&head[..read]);
        head.start.split(' ').nth(1)?.parse().ok()
    };
    tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.ok()?
}

/// Returns whether a process answers the readiness check, and how.
pub async fn readiness(ip: net::Ipv4Addr) -> Option<u16> {
    let request = "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n";
    let answer = caller::try_send(site::readiness_address(ip), request).await;
    answer.map(|answer| answer.status)
}

async fn wait_ready(ip: net::Ipv4Addr) {
    for _ in 0..500 {
        if readiness(ip).await == Some(200) {
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    panic!("the process at {ip} did not become ready");
}

/// Returns the configuration of the fakes with bodies and timeouts of the largest size.
fn config() -> serde_json::Value {
    let mut config = site::config(1);
    for route in config["routes"].as_array_mut().expect("there are routes") {
        route["timeoutMs"] = LONG_TIMEOUT_MS.into();
    }
    config["limits"]["maxBodyBytes"] = MAX_BODY_BYTES.into();
    config["limits"]["headerTimeoutMs"] = LONG_TIMEOUT_MS.into();
    config["limits"]["idleTimeoutMs"] = LONG_TIMEOUT_MS.into();
    config
}

fn start_process(
    site: &site::Site,
    ip: net::Ipv4Addr,
    ips: &[net::Ipv4Addr],
    (limits, output): (bounded_process::ProcessLimits, process::Stdio),
) -> bounded_process::BoundedProcess {
    let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let file = directory.join(format!("hostile-{ip}.toml"));
    let text = format!(
        "{}[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = {}\nfileDescriptors = {}\n\
         linkMbps = 1000.0\n",
        site::settings_text(site.store.address, ip, ips),
        limits.memory_mb,
        limits.descriptors,
    );
    fs::write(&file, text).expect("the temporary directory of the tests is writable");
    bounded_process::BoundedProcess::start(
        &[ffi::OsStr::new("node")],
        ("PLANTAINREACH_CONFIG", file.as_os_str()),
        limits,
        output,
    )
}
