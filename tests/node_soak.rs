//! A soak of real processes on the users' platform: faults come from outside, in series and
//! overlapping, and the promises are checked from what callers and servers saw.
//!
//! `SOAK_SEEDS=1..50 cargo test --test node_soak -- --nocapture` plays other seeds, and
//! `SOAK_PROCESSES=40` a larger fleet. With `SOAK_OTHER_PROGRAM` set to the path of another build of
//! the program, processes with an odd index (1, 3, ...) run that build, which tests a site of two
//! versions.

#[path = "../platform/tests/common/mod.rs"]
mod common;

use std::{collections, fs, net, ops, path, process, sync, time};

use common::{caller, fake_store, fake_worker, fault_proxy, site};
use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};

/// Seeds that are always played; each one that ever failed is kept here with a line on the cause.
const KEPT_SEEDS: [u64; 2] = [1, 2];

/// Processes of the site, when none are asked for.
const PROCESSES: usize = 4;

/// Time in which faults come.
const FAULT_TIME: time::Duration = time::Duration::from_secs(8);

/// Callers of each kind.
const CALLERS: usize = 4;

/// Time in which all work has ended once the callers have left.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(4);

/// Time after which a leaving server receives nothing.
const DRAIN_BOUND: time::Duration = time::Duration::from_secs(2);

/// A process of the site, ended with its test.
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
            .expect("the binary starts");
        self.child = Some(child);
    }

    fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let sent = process::Command::new("kill")
            .args([format!("-{name}"), child.id().to_string()])
            .status();
        assert!(sent.is_ok(), "the signal is sent");
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process is ours");
            child.wait().expect("the process is ours");
        }
    }

    /// Waits for a process that was told to shut down.
    async fn wait(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        for _ in 0..300 {
            if child.try_wait().expect("the process is ours").is_some() {
                return;
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        child.kill().expect("the process is ours");
        panic!("a process did not end after SIGTERM");
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What one caller saw.
struct Seen {
    id: String,
    path: &'static str,
    answer: Option<caller::CallerAnswer>,
}

/// A site of processes over stand-ins behind proxies.
struct Soak {
    site: site::Site,
    proxies: Vec<fault_proxy::FaultProxy>,
    processes: Vec<NodeProcess>,
    seen: sync::Arc<sync::Mutex<Vec<Seen>>>,
    /// Moments at which servers began to leave.
    left: Vec<(String, time::Instant)>,
    random: rand_chacha::ChaCha8Rng,
}

impl Soak {
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
            .map(|(index, ip)| prepare(&site, index, *ip, &ips))
            .collect();
        let mut soak = Self {
            site,
            proxies,
            processes,
            seen: sync::Arc::default(),
            left: Vec::new(),
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        };
        for server in &soak.site.servers {
            soak.site.list(server, site::SHOP, "ready");
        }
        for engine in soak.site.prefills.iter().chain(&soak.site.decodes) {
            soak.site.list(engine, site::LLM, "ready");
        }
        for process in &mut soak.processes {
            process.start();
        }
        for process in &soak.processes {
            wait_ready(process.ip).await;
        }
        soak
    }

    /// Starts callers that send until the flag is set.
    fn start_callers(
        &self,
        stop: &sync::Arc<sync::atomic::AtomicBool>,
    ) -> Vec<tokio::task::JoinHandle<()>> {
        let fronts: Vec<_> = self
            .processes
            .iter()
            .map(|process| site::caller_address(process.ip))
            .collect();
        let kinds = ["/order/x", "/price/x", "/draft/x", "/once/x"];
        (0..(CALLERS * kinds.len()).max(fronts.len()))
            .map(|number| {
                let path = kinds[number % kinds.len()];
                let front = fronts[number % fronts.len()];
                tokio::spawn(call_on(
                    number,
                    path,
                    front,
                    sync::Arc::clone(stop),
                    sync::Arc::clone(&self.seen),
                ))
            })
            .collect()
    }

    /// Lets one fault come.
    async fn fault(&mut self) {
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
            4 => self.harm_store(pause).await,
            5 | 6 => self.harm_proxy(pause).await,
            7 => self.leave(pause).await,
            _ => self.harm_workers(),
        }
        tokio::time::sleep(pause / 3).await;
    }

    async fn harm_store(&mut self, pause: time::Duration) {
        let modes = [
            fake_store::StoreMode::Busy,
            fake_store::StoreMode::Silent,
            fake_store::StoreMode::Compacted,
        ];
        let mode = *modes.choose(&mut self.random).expect("modes are listed");
        self.site.store.set_mode(mode);
        tokio::time::sleep(pause).await;
        self.site.store.set_mode(fake_store::StoreMode::Up);
    }

    async fn harm_proxy(&mut self, pause: time::Duration) {
        let modes = [
            fault_proxy::ProxyMode::Delay,
            fault_proxy::ProxyMode::Reset,
            fault_proxy::ProxyMode::Silent,
            fault_proxy::ProxyMode::OneWay,
        ];
        let mode = *modes.choose(&mut self.random).expect("modes are listed");
        let proxy = self
            .proxies
            .choose(&mut self.random)
            .expect("proxies are there")
            .clone();
        proxy.set_mode(mode);
        tokio::time::sleep(pause).await;
        // Silent connections stay silent; new ones pass.
        proxy.set_mode(fault_proxy::ProxyMode::Pass);
    }

    /// Lets a server leave for good, and another incarnation of it come after a while.
    async fn leave(&mut self, pause: time::Duration) {
        if !self.left.is_empty() {
            return;
        }
        let server = self.site.servers[0].clone();
        self.site.list(&server, site::SHOP, "draining");
        self.left.push((server.id, time::Instant::now()));
        tokio::time::sleep(pause).await;
    }

    fn harm_workers(&mut self) {
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
                .expect("they are listed");
            worker.script([behaviour]);
        }
    }

    /// Returns what was broken.
    fn broken(&self) -> Vec<String> {
        let seen = self.seen.lock().expect("no caller panicked");
        let runs = self.runs();
        let mut broken = Vec::new();
        for seen in seen.iter() {
            let ran = runs.get(&seen.id).copied().unwrap_or(0);
            let once = ["/order/x", "/once/x"].contains(&seen.path);
            if once && ran > 1 {
                broken.push(format!("{} ran {ran} times", seen.id));
            }
            if let Some(answer) = &seen.answer {
                broken.extend(fault_of(seen, answer, ran));
            }
        }
        for (server, at) in &self.left {
            let late = self
                .site
                .servers
                .iter()
                .filter(|known| known.id == *server)
                .flat_map(fake_worker::FakeWorker::runs)
                .filter(|(_, run)| run.saturating_duration_since(*at) > DRAIN_BOUND + STOP_SLACK)
                .count();
            if late > 0 {
                broken.push(format!("{server} received {late} requests after it left"));
            }
        }
        broken
    }

    fn runs(&self) -> collections::BTreeMap<String, usize> {
        let mut runs = collections::BTreeMap::new();
        for worker in self.site.servers.iter().chain(&self.site.decodes) {
            for (id, _) in worker.runs() {
                *runs.entry(id).or_default() += 1;
            }
        }
        runs
    }
}

/// Time for which a process may have been stopped, or the store away, while a server left.
const STOP_SLACK: time::Duration = time::Duration::from_secs(3);

/// Returns what is wrong with an answer.
fn fault_of(seen: &Seen, answer: &caller::CallerAnswer, ran: usize) -> Option<String> {
    let text = answer.message.text();
    let id = &seen.id;
    match answer.status {
        503 if ran > 0 => Some(format!("{id} was told not to have run and ran")),
        200 if seen.path.starts_with("/draft") || seen.path.starts_with("/once") => {
            let whole: String = (1..=fake_worker::EVENTS)
                .map(|number| format!("id: {number}\ndata: e{number}\n\n"))
                .collect();
            let fits = if answer.complete {
                text == whole
            } else {
                whole.starts_with(&text)
            };
            (!fits).then(|| format!("{id} received a stream that is not its own: {text:?}"))
        }
        200 if answer.complete && !text.ends_with(&format!("to {id}")) => {
            Some(format!("{id} received the answer of another: {text:?}"))
        }
        _ => None,
    }
}

/// Sends one request after the other, each on a connection of its own.
async fn call_on(
    number: usize,
    path: &'static str,
    front: net::SocketAddr,
    stop: sync::Arc<sync::atomic::AtomicBool>,
    seen: sync::Arc<sync::Mutex<Vec<Seen>>>,
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
        let answer = caller::try_send(front, &request).await;
        let pause = if answer.is_none() { 100 } else { 20 };
        seen.lock()
            .expect("no caller panicked")
            .push(Seen { id, path, answer });
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
}

fn prepare(
    site: &site::Site,
    index: usize,
    ip: net::Ipv4Addr,
    ips: &[net::Ipv4Addr],
) -> NodeProcess {
    let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let settings = directory.join(format!("soak-{ip}.toml"));
    let text = site::settings_text(site.store.address, ip, ips.get(..2).unwrap_or_default());
    fs::write(&settings, text).expect("the directory of tests is writable");
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

async fn wait_ready(ip: net::Ipv4Addr) {
    for _ in 0..300 {
        let question = "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n";
        let answer = caller::try_send(site::readiness_address(ip), question).await;
        if answer.is_some_and(|answer| answer.status == 200) {
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    panic!("{ip} did not become ready");
}

fn process_count() -> usize {
    std::env::var("SOAK_PROCESSES").map_or(PROCESSES, |text| text.parse().expect("a number"))
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return KEPT_SEEDS.to_vec();
    };
    let (from, to) = text.split_once("..").expect("SOAK_SEEDS is FROM..TO");
    let range: ops::Range<u64> = from.parse().expect("a number")..to.parse().expect("a number");
    range.collect()
}

async fn soak(seed: u64) -> (Vec<String>, usize, usize) {
    let mut soak = Soak::start(seed).await;
    let stop = sync::Arc::new(sync::atomic::AtomicBool::new(false));
    let callers = soak.start_callers(&stop);
    let end = time::Instant::now() + FAULT_TIME;
    while time::Instant::now() < end {
        soak.fault().await;
    }
    for proxy in &soak.proxies {
        proxy.set_mode(fault_proxy::ProxyMode::Pass);
    }
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    stop.store(true, sync::atomic::Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("no caller panicked");
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let mut broken = soak.broken();
    let workers = soak.site.servers.iter().chain(&soak.site.decodes);
    let running: u32 = workers.map(fake_worker::FakeWorker::running).sum();
    if running > 0 {
        broken.push(format!("{running} requests are still at work"));
    }
    let seen = soak.seen.lock().expect("no caller panicked");
    let answered = seen
        .iter()
        .filter(|seen| {
            seen.answer
                .as_ref()
                .is_some_and(|answer| answer.status == 200)
        })
        .count();
    (broken, answered, seen.len())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn processes_keep_the_promises_under_faults_from_outside() {
    for seed in seeds() {
        let (broken, answered, sent) = soak(seed).await;

        println!("seed {seed}: {answered} of {sent} answered, broken: {broken:?}");
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
        assert!(answered * 2 > sent, "seed {seed}: {answered} of {sent}");
    }
}
