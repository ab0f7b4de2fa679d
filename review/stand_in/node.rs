//! The processes under test: instances with the command of the deploy file.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/plantainreach";
const FRONT_PORT: u16 = 8144;
const READY_PORT: u16 = 8140;
const CONTROL_PORT: u16 = 8146;
const METRICS_PORT: u16 = 9400;

/// Address block of loopback addresses of this run, on which the fixed ports are free.
#[derive(Clone, Copy)]
pub struct Block {
    second: u8,
    third: u8,
}

impl Block {
    pub fn find() -> Self {
        let clock = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let mut seed = u64::from(std::process::id()) * 2_654_435_761
            + u64::from(clock.map_or(0, |time| time.subsec_nanos()));
        for _ in 0..200 {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let block = Self {
                second: (seed >> 40) as u8 % 200 + 20,
                third: (seed >> 50) as u8 % 250 + 1,
            };
            let ports = [FRONT_PORT, READY_PORT, METRICS_PORT];
            let is_free = (11..=14).all(|host| {
                ports
                    .iter()
                    .all(|port| TcpListener::bind((block.ip(host), *port)).is_ok())
            });
            if is_free {
                return block;
            }
        }
        eprintln!("no free loopback addresses");
        std::process::exit(2);
    }

    pub fn ip(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, host)
    }
}

/// Settings of an instance that differ between the cases.
#[derive(Clone)]
pub struct NodeSpec {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub seeds: Vec<Ipv4Addr>,
    pub store: SocketAddr,
    pub internal_ports: (u16, u16),
    pub require_fence: bool,
}

pub struct Node {
    pub spec: NodeSpec,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn prepare(spec: NodeSpec, directory: &std::path::Path) -> Self {
        let settings = directory.join(format!("{}.toml", spec.name));
        fs::write(&settings, settings_text(&spec)).expect("the temporary folder is writable");
        Self {
            log: directory.join(format!("{}.log", spec.name)),
            spec,
            settings,
            child: None,
        }
    }

    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the temporary folder is writable");
        let mut command = Command::new(PROGRAM);
        command
            .arg("node")
            .env_clear()
            .env("PLANTAINREACH_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log);
        // The process ends with the stand-in, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => {
                eprintln!("{PROGRAM}: {error}");
                std::process::exit(2);
            }
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddrV4::new(self.spec.ip, FRONT_PORT).into()
    }

    /// Waits until the instance says that it is ready; returns whether it does within 10 s.
    pub fn wait_ready(&self) -> bool {
        let ready = SocketAddrV4::new(self.spec.ip, READY_PORT).into();
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let request = "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            if http::send(ready, request, Duration::from_secs(1)).status == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn log_lines(&self, event: &str) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let mark = format!("\"event\":\"{event}\"");
        let lines = text.lines().filter(|line| line.contains(&mark));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Bounds of the sheet of Coilquote.
fn settings_text(spec: &NodeSpec) -> String {
    let NodeSpec {
        name,
        ip,
        zone,
        store,
        internal_ports: (first, last),
        require_fence,
        ..
    } = spec;
    let seeds: Vec<String> = spec
        .seeds
        .iter()
        .map(|seed| format!("\"{seed}:{CONTROL_PORT}\""))
        .collect();
    let seeds = seeds.join(",");
    format!(
        r#"nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
internalPorts = [{first},{last}]
seeds = [{seeds}]
bootstrap = true
toleranceMember = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
zone-a = "region-1"
zone-b = "region-1"
zone-c = "region-1"
[listen]
front = "{ip}:{FRONT_PORT}"
ready = "{ip}:{READY_PORT}"
control = "{ip}:{CONTROL_PORT}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 110
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxSkewMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
recoveryS = 12
transitMs = 120
reuseWindowS = 3
requireFence = {require_fence}
leaseMs = 3000
thawMs = 300
[platform]
address = "{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyRetentionS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#
    )
}
