//! Soak test of a site of real processes under injected faults, in series and overlapping.
//!
//! The test checks the answers that callers received and the requests that workers ran: no request
//! of a path without retries ran twice, no caller received a wrong stream or another caller's
//! answer, no request that was answered with 503 ran, no draining server received requests after
//! the drain timeout, and no request is still running at the end.
//!
//! Environment variables:
//! - `SOAK_SEEDS=1..50` runs the seeds 1 to 49 instead of the default ones, for example in
//!   `SOAK_SEEDS=1..50 cargo test --test node_soak -- --nocapture`.
//! - `SOAK_PROCESSES=40` sets the number of processes.
//! - `SOAK_OTHER_PROGRAM=PATH` makes processes with an odd index (1, 3, ...) run the binary at this
//!   path at every start and restart. With a build of another version, the site runs two versions
//!   at once.

#[path = "../platform/tests/common/mod.rs"]
mod common;

use std::{collections, fs, net, ops, path, process, sync, time};

use common::{caller, fake_store, fake_worker, fault_proxy, site};
use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};

/// Seeds that run by default. A seed that has ever failed stays here, with a line on the cause.
const DEFAULT_SEEDS: [u64; 2] = [1, 2];

/// Number of processes of the site by default.
const DEFAULT_PROCESSES: usize = 4;

/// Duration of the fault injection.
const FAULT_DURATION: time::Duration = time::Duration::from_secs(8);

/// Minimum number of callers of each path.
const CALLERS_PER_PATH: usize = 4;

/// Time within which all requests end once the callers have stopped.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// Time after which a draining server receives no new requests.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// A process of the site; it is killed on drop.
struct NodeProcess {
    child: Option<process::Child>,
    program: path::PathBuf,
    ip: net::Ipv4Addr,
    settings: path::PathBuf,
}

impl NodeProcess {
    fn start(&mut self) {
        let child = process::Command::new(&self.program)
            .arg("node")
            .env("PLANTAINREACH_CONFIG", &self.settings)
            .stdout(process::Stdio::null())
            .spawn()
            .expect("the program can be started");
        self.child = Some(child);
    }

    fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let sent = process::Command::new("kill")
            .args([format!("-{name}"), child.id().to_string()])
            .status();
        assert!(sent.is_ok(), "failed to run `kill -{name}`");
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("a child process can be killed");
            child.wait().expect("a child process can be waited for");
        }
    }

    /// Waits until the process exits after SIGTERM; panics after six seconds.
    async fn wait(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        for _ in 0..300 {
            if child
                .try_wait()
                .expect("a child process can be waited for")
                .is_some()
            {
                return;
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        child.kill().expect("a child process can be killed");
        panic!("a process did not exit after SIGTERM");
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A request of a caller with the answer that the caller received.
struct CallerRecord {
    id: String,
    path: &'static str,
    /// `None` if the connection failed or no answer arrived in time.
    answer: Option<caller::CallerAnswer>,
}

/// A run of the soak test: a site of processes, with a fault proxy in front of every fake worker.
struct SoakRun {
    site: site::Site,
    proxies: Vec<fault_proxy::FaultProxy>,
    processes: Vec<NodeProcess>,
    records: sync::Arc<sync::Mutex<Vec<CallerRecord>>>,
    /// Ids of the draining servers, with the times at which they began to drain.
    draining: Vec<(String, time::Instant)>,
    random: rand_chacha::ChaCha8Rng,
}

impl SoakRun {
    async fn start(seed: u64) -> Self {
        let site = site::Site::start().await;
        let mut proxies = Vec::new();
        for worker in site
            .servers
            .iter()
            .chain(&site.prefills)
            .chain(&site.decodes)
        {
            let proxy = fault_proxy::FaultProxy::start(worker.address).await;
            worker.set_listed_address(proxy.address);
            proxies.push(proxy);
        }
        let ips: Vec<_> = (0..process_count()).map(|_| site::next_address()).collect();
        let processes = ips
            .iter()
            .enumerate()
            .map(|(index, ip)| prepare_process(&site, index, *ip, &ips))
            .collect();
        let mut run = Self {
            site,
            proxies,
            processes,
            records: sync::Arc::default(),
            draining: Vec::new(),
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        };
        for server in &run.site.servers {
            run.site.list(server, site::SHOP, "ready");
        }
        for engine in run.site.prefills.iter().chain(&run.site.decodes) {
            run.site.list(engine, site::LLM, "ready");
        }
        for process in &mut run.processes {
            process.start();
        }
        for process in &run.processes {
            wait_ready(process.ip).await;
        }
        run
    }

    /// Starts callers that send requests until `stop` is set.
    fn start_callers(
        &self,
        stop: &sync::Arc<sync::atomic::AtomicBool>,
    ) -> Vec<tokio::task::JoinHandle<()>> {
        let addresses: Vec<_> = self
            .processes
            .iter()
            .map(|process| site::caller_address(process.ip))
            .collect();
        let paths = ["/order/x", "/price/x", "/draft/x", "/once/x"];
        (0..(CALLERS_PER_PATH * paths.len()).max(addresses.len()))
            .map(|number| {
                let path = paths[number % paths.len()];
                let address = addresses[number % addresses.len()];
                tokio::spawn(send_requests(
                    number,
                    path,
                    address,
                    sync::Arc::clone(stop),
                    sync::Arc::clone(&self.records),
                ))
            })
            .collect()
    }

    /// Injects one random fault.
    async fn inject_fault(&mut self) {
        let pause = time::Duration::from_millis(self.random.random_range(50..700));
        let number = self.random.random_range(0..self.processes.len());
        match self.random.random_range(0..10) {
            0 => {
                self.processes[number].kill();
                tokio::time::sleep(pause).await;
                self.processes[number].start();
            }
            1 => {
                self.processes[number].signal("STOP");
                tokio::time::sleep(pause * 2).await;
                self.processes[number].signal("CONT");
            }
            2 => {
                self.processes[number].signal("TERM");
                self.processes[number].wait().await;
                self.processes[number].start();
            }
            3 => self.processes[number].signal("HUP"),
            4 => self.inject_store_fault(pause).await,
            5 | 6 => self.inject_proxy_fault(pause).await,
            7 => self.drain_server(pause).await,
            _ => self.inject_worker_faults(),
        }
        tokio::time::sleep(pause / 3).await;
    }

    async fn inject_store_fault(&mut self, pause: time::Duration) {
        let modes = [
            fake_store::StoreMode::Busy,
            fake_store::StoreMode::Silent,
            fake_store::StoreMode::Compacted,
        ];
        let mode = *modes
            .choose(&mut self.random)
            .expect("the list of modes is not empty");
        self.site.store.set_mode(mode);
        tokio::time::sleep(pause).await;
        self.site.store.set_mode(fake_store::StoreMode::Up);
    }

    async fn inject_proxy_fault(&mut self, pause: time::Duration) {
        let modes = [
            fault_proxy::ProxyMode::Delay,
            fault_proxy::ProxyMode::Reset,
            fault_proxy::ProxyMode::Silent,
            fault_proxy::ProxyMode::OneWay,
        ];
        let mode = *modes
            .choose(&mut self.random)
            .expect("the list of modes is not empty");
        let proxy = self
            .proxies
            .choose(&mut self.random)
            .expect("a site has proxies")
            .clone();
        proxy.set_mode(mode);
        tokio::time::sleep(pause).await;
        // Connections that the proxy silenced stay silent; the proxy forwards new ones.
        proxy.set_mode(fault_proxy::ProxyMode::Pass);
    }

    /// Drains the first server; the server stays draining for the rest of the run.
    async fn drain_server(&mut self, pause: time::Duration) {
        if !self.draining.is_empty() {
            return;
        }
        let server = self.site.servers[0].clone();
        self.site.list(&server, site::SHOP, "draining");
        self.draining.push((server.id, time::Instant::now()));
        tokio::time::sleep(pause).await;
    }

    fn inject_worker_faults(&mut self) {
        let behaviours = [
            fake_worker::Behaviour::Cut,
            fake_worker::Behaviour::Garbage,
            fake_worker::Behaviour::Extra,
            fake_worker::Behaviour::WrongRequestId,
            fake_worker::Behaviour::NotRun,
            fake_worker::Behaviour::Close,
            fake_worker::Behaviour::Slow,
            fake_worker::Behaviour::Fail,
            fake_worker::Behaviour::NoLength,
            fake_worker::Behaviour::BreakAfter(2),
            fake_worker::Behaviour::StallAfter(3),
        ];
        let site = &self.site;
        for worker in site
            .servers
            .iter()
            .chain(&site.prefills)
            .chain(&site.decodes)
        {
            let behaviour = *behaviours
                .choose(&mut self.random)
                .expect("the list of behaviours is not empty");
            worker.script([behaviour]);
        }
    }

    /// Returns the violations of the checked guarantees.
    fn violations(&self) -> Vec<String> {
        let records = self.records.lock().expect("no caller panicked");
        let run_counts = self.run_counts();
        let mut violations = Vec::new();
        for record in records.iter() {
            let run_count = run_counts.get(&record.id).copied().unwrap_or(0);
            let at_most_once = ["/order/x", "/once/x"].contains(&record.path);
            if at_most_once && run_count > 1 {
                violations.push(format!("{} ran {run_count} times", record.id));
            }
            if let Some(answer) = &record.answer {
                violations.extend(answer_violation(record, answer, run_count));
            }
        }
        for (server, drain_start) in &self.draining {
            let late = self
                .site
                .servers
                .iter()
                .filter(|worker| worker.id == *server)
                .flat_map(fake_worker::FakeWorker::runs)
                .filter(|(_, run)| {
                    run.saturating_duration_since(*drain_start) > DRAIN_TIMEOUT + DRAIN_SLACK
                })
                .count();
            if late > 0 {
                violations.push(format!(
                    "{server} received {late} requests after the drain timeout"
                ));
            }
        }
        violations
    }

    /// Returns the number of times that each request ran, by request id.
    fn run_counts(&self) -> collections::BTreeMap<String, usize> {
        let mut run_counts = collections::BTreeMap::new();
        for worker in self.site.servers.iter().chain(&self.site.decodes) {
            for (id, _) in worker.runs() {
                *run_counts.entry(id).or_default() += 1;
            }
        }
        run_counts
    }
}

/// Added to the drain timeout: a stopped process or an unavailable store delays the state change.
const DRAIN_SLACK: time::Duration = time::Duration::from_secs(3);

/// Returns the violation that an answer shows, if any.
fn answer_violation(
    record: &CallerRecord,
    answer: &caller::CallerAnswer,
    run_count: usize,
) -> Option<String> {
    let text = answer.message.text();
    let id = &record.id;
    match answer.status {
        503 if run_count > 0 => Some(format!("{id} was answered with 503 although it ran")),
        200 if record.path.starts_with("/draft") || record.path.starts_with("/once") => {
            let expected: String = (1..=fake_worker::EVENTS)
                .map(|number| format!("id: {number}\ndata: e{number}\n\n"))
                .collect();
            let matches = if answer.complete {
                text == expected
            } else {
                expected.starts_with(&text)
            };
            (!matches).then(|| format!("{id} received a wrong stream: {text:?}"))
        }
        200 if answer.complete && !text.ends_with(&format!("to {id}")) => Some(format!(
            "{id} received the answer to another request: {text:?}"
        )),
        _ => None,
    }
}

/// Sends requests one after the other until `stop` is set, each on a new connection.
async fn send_requests(
    number: usize,
    path: &'static str,
    address: net::SocketAddr,
    stop: sync::Arc<sync::atomic::AtomicBool>,
    records: sync::Arc<sync::Mutex<Vec<CallerRecord>>>,
) {
    for round in 0.. {
        if stop.load(sync::atomic::Ordering::Relaxed) {
            return;
        }
        let id = format!("c{number}-{round}");
        let request = if path.starts_with("/draft") || path.starts_with("/once") {
            caller::draft(&id, 200).replace("/draft/x", path)
        } else {
            caller::request("POST", path, &id, "X-Deadline-Ms: 1200\r\n", "body")
        };
        let answer = caller::try_send(address, &request).await;
        let pause = if answer.is_none() { 100 } else { 20 };
        records
            .lock()
            .expect("no caller panicked")
            .push(CallerRecord { id, path, answer });
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
}

/// Writes the settings file of a process and returns the process, not yet started.
fn prepare_process(
    site: &site::Site,
    index: usize,
    ip: net::Ipv4Addr,
    ips: &[net::Ipv4Addr],
) -> NodeProcess {
    let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let settings = directory.join(format!("soak-{ip}.toml"));
    let text = site::settings_text(site.store.address, ip, ips.get(..2).unwrap_or_default());
    fs::write(&settings, text).expect("the temporary directory of the tests is writable");
    NodeProcess {
        child: None,
        program: program_of(index),
        ip,
        settings,
    }
}

/// Returns the program of the process with an index: `SOAK_OTHER_PROGRAM`, if set, for odd indices,
/// and the program under test otherwise.
fn program_of(index: usize) -> path::PathBuf {
    let other = std::env::var_os("SOAK_OTHER_PROGRAM").filter(|_| index % 2 == 1);
    other.map_or_else(
        || env!("CARGO_BIN_EXE_plantainreach").into(),
        path::PathBuf::from,
    )
}

/// Waits until the process answers 200 on its readiness path; panics after 300 attempts.
async fn wait_ready(ip: net::Ipv4Addr) {
    for _ in 0..300 {
        let request = "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n";
        let answer = caller::try_send(site::readiness_address(ip), request).await;
        if answer.is_some_and(|answer| answer.status == 200) {
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    panic!("the process at {ip} did not become ready");
}

fn process_count() -> usize {
    std::env::var("SOAK_PROCESSES").map_or(DEFAULT_PROCESSES, |text| {
        text.parse().expect("SOAK_PROCESSES is a number")
    })
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return DEFAULT_SEEDS.to_vec();
    };
    let (from, to) = text
        .split_once("..")
        .expect("SOAK_SEEDS has the form FROM..TO");
    let range: ops::Range<u64> =
        from.parse().expect("FROM is a number")..to.parse().expect("TO is a number");
    range.collect()
}

/// Runs the soak with a seed and returns the violations, the number of requests answered with 200
/// and the number of requests sent.
async fn run_soak(seed: u64) -> (Vec<String>, usize, usize) {
    let mut run = SoakRun::start(seed).await;
    let stop = sync::Arc::new(sync::atomic::AtomicBool::new(false));
    let callers = run.start_callers(&stop);
    let end = time::Instant::now() + FAULT_DURATION;
    while time::Instant::now() < end {
        run.inject_fault().await;
    }
    for proxy in &run.proxies {
        proxy.set_mode(fault_proxy::ProxyMode::Pass);
    }
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    stop.store(true, sync::atomic::Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("no caller panicked");
    }
    tokio::time::sleep(SETTLE_TIMEOUT).await;
    let mut violations = run.violations();
    let workers = run.site.servers.iter().chain(&run.site.decodes);
    let running: u32 = workers.map(fake_worker::FakeWorker::running).sum();
    if running > 0 {
        violations.push(format!("{running} requests are still running"));
    }
    let records = run.records.lock().expect("no caller panicked");
    let answered = records
        .iter()
        .filter(|record| {
            record
                .answer
                .as_ref()
                .is_some_and(|answer| answer.status == 200)
        })
        .count();
    (violations, answered, records.len())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn processes_uphold_guarantees_under_injected_faults() {
    for seed in seeds() {
        let (violations, answered, sent) = run_soak(seed).await;

        println!("seed {seed}: {answered} of {sent} answered, broken: {violations:?}");
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        assert!(answered * 2 > sent, "seed {seed}: {answered} of {sent}");
    }
}
