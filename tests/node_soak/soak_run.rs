//! One run of the soak test: a site, its faults and the checks.

use std::{sync, time};

use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};

use crate::{
    caller_load, changing_keys,
    common::{fake_store, fault_proxy, site},
    limited_servers, node_process, process_cuts, process_fault, taken_up_streams, worker_faults,
};

/// Minimum number of callers of each path.
const CALLERS_PER_PATH: usize = 4;

/// One of this many faults is followed by a change of the keys.
const KEY_CHANGE_PERIOD: u32 = 4;

/// Number of routes by which a newer configuration is larger.
const ADDED_ROUTES: u64 = 1_000;

/// A run of the soak test: a site of processes, with a fault proxy in front of every fake worker.
pub struct SoakRun {
    pub site: site::Site,
    pub proxies: Vec<fault_proxy::FaultProxy>,
    pub processes: Vec<node_process::NodeProcess>,
    pub records: sync::Arc<sync::Mutex<Vec<caller_load::CallerRecord>>>,
    /// Ids of the draining servers, with the times at which they began to drain.
    pub draining: Vec<(String, time::Instant)>,
    config_version: u64,
    pub keys: changing_keys::ChangingKeys,
    injected_faults: u32,
    /// Begin and end of each fault of the store.
    pub store_faults: Vec<(time::Instant, time::Instant)>,
    pub process_faults: Vec<process_fault::ProcessFault>,
    pub limits: limited_servers::LimitedServers,
    pub cuts: Vec<process_cuts::ProcessCut>,
    pub taken_up: sync::Arc<sync::Mutex<Vec<taken_up_streams::TakenUpStream>>>,
    pub random: rand_chacha::ChaCha8Rng,
}

impl SoakRun {
    pub async fn start(seed: u64, process_count: usize) -> Self {
        let mut site = site::Site::start().await;
        site.add_engines_of("v2").await;
        taken_up_streams::mark_engines(&site.decodes);
        let mut proxies = Vec::new();
        for worker in site.workers() {
            let proxy = fault_proxy::FaultProxy::start(worker).await;
            worker.set_listed_address(proxy.address);
            proxies.push(proxy);
        }
        let ips: Vec<_> = (0..process_count).map(|_| site::next_address()).collect();
        let processes = ips
            .iter()
            .enumerate()
            .map(|(index, ip)| node_process::prepare_process(&site, index, *ip, &ips))
            .collect();
        let mut run = Self {
            site,
            proxies,
            processes,
            records: sync::Arc::default(),
            draining: Vec::new(),
            config_version: 1,
            keys: changing_keys::ChangingKeys::default(),
            injected_faults: 0,
            store_faults: Vec::new(),
            process_faults: Vec::new(),
            limits: limited_servers::LimitedServers::default(),
            cuts: Vec::new(),
            taken_up: sync::Arc::default(),
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        };
        run.write_configuration(0);
        run.list_all();
        for engine in &run.site.decodes {
            engine.crash_on(caller_load::POISON_SEGMENT);
        }
        for server in &run.site.servers {
            server.end_on(caller_load::FATAL_PATH);
        }
        for process in &mut run.processes {
            process.start();
        }
        for process in &run.processes {
            node_process::wait_ready(process.ip).await;
        }
        run
    }

    /// Starts callers that send requests until `stop` is set.
    pub fn start_callers(
        &mut self,
        stop: &sync::Arc<sync::atomic::AtomicBool>,
    ) -> Vec<tokio::task::JoinHandle<()>> {
        let addresses: Vec<_> = self
            .processes
            .iter()
            .map(|process| site::caller_address(process.ip))
            .collect();
        let paths = ["/order/x", "/price/x", "/draft/x", "/once/x"];
        let delay = time::Duration::from_millis(self.random.random_range(0..4_000));
        let fatal = tokio::spawn(caller_load::send_fatal_calls(
            addresses.clone(),
            delay,
            sync::Arc::clone(stop),
        ));
        let callers = (0..(CALLERS_PER_PATH * paths.len()).max(addresses.len())).map(|number| {
            let path = paths[number % paths.len()];
            let process = number % addresses.len();
            tokio::spawn(caller_load::send_requests(
                number,
                path,
                (process, addresses[process]),
                sync::Arc::clone(stop),
                sync::Arc::clone(&self.records),
            ))
        });
        let taken_up = tokio::spawn(taken_up_streams::take_streams_up(
            addresses.clone(),
            sync::Arc::clone(stop),
            sync::Arc::clone(&self.taken_up),
        ));
        let keyed = self.keys.clone().send_calls(
            addresses.iter().copied().enumerate().collect(),
            sync::Arc::clone(stop),
        );
        callers
            .chain([fatal, taken_up, tokio::spawn(keyed)])
            .collect()
    }

    /// Injects one random fault.
    pub async fn inject_fault(&mut self) {
        let pause = time::Duration::from_millis(self.random.random_range(50..700));
        let number = self.random.random_range(0..self.processes.len());
        let started = time::Instant::now();
        let kind = self.random.random_range(0..15);
        match kind {
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
            8 => self.restore_store(pause).await,
            9 => self.enlarge_configuration(),
            13 => self.cut_process(number),
            14 => self.hide_version(pause).await,
            10 => self.limits.change(&self.site, &mut self.random),
            _ => self.inject_worker_faults(),
        }
        if [4, 8].contains(&kind) {
            self.store_faults.push((started, time::Instant::now()));
        }
        if kind <= 3 {
            self.process_faults.push(process_fault::ProcessFault {
                process: number,
                started,
                ended: time::Instant::now(),
            });
        }
        self.injected_faults += 1;
        if self.injected_faults.is_multiple_of(KEY_CHANGE_PERIOD) {
            self.write_configuration(0);
        }
        tokio::time::sleep(pause / 3).await;
    }

    /// Writes a newer configuration with many more routes.
    fn enlarge_configuration(&mut self) {
        self.write_configuration(ADDED_ROUTES * (self.config_version + 1));
    }

    /// Writes a newer configuration with other keys and `added` further routes.
    fn write_configuration(&mut self, added: u64) {
        self.config_version += 1;
        let mut config = self.keys.replace_in(site::config(self.config_version));
        let routes = config["routes"].as_array_mut().expect("routes are listed");
        let template = routes[0].clone();
        routes.extend((0..added).map(|number| {
            let mut route = template.clone();
            route["name"] = format!("added-{number}").into();
            route["prefix"] = format!("/added-{number}/").into();
            route
        }));
        self.site.store.put("op/config", config.to_string());
    }

    /// Removes the entries of the engines of one version for a time, as if a release went forth and
    /// back.
    async fn hide_version(&mut self, pause: time::Duration) {
        let version = if self.random.random() { "v1" } else { "v2" };
        let engines = self.site.prefills.iter().chain(&self.site.decodes);
        for engine in engines.filter(|engine| engine.software() == version) {
            self.site.store.remove(&format!("servers/{}", engine.id));
        }
        tokio::time::sleep(pause * 2).await;
        self.list_all();
    }

    async fn inject_store_fault(&mut self, pause: time::Duration) {
        let modes = [
            fake_store::StoreMode::Busy,
            fake_store::StoreMode::Silent,
            fake_store::StoreMode::Slow,
            fake_store::StoreMode::Endless,
            fake_store::StoreMode::Compacted,
        ];
        let mode = *modes
            .choose(&mut self.random)
            .expect("the list of modes is not empty");
        self.site.store.set_mode(mode);
        tokio::time::sleep(pause).await;
        self.site.store.set_mode(fake_store::StoreMode::Up);
    }

    /// Restores the store from a copy that is some changes old. The workers and the operator write
    /// their entries again after a pause.
    async fn restore_store(&mut self, pause: time::Duration) {
        self.site.store.copy();
        self.list_all();
        tokio::time::sleep(pause).await;
        self.site.store.set_mode(fake_store::StoreMode::Busy);
        tokio::time::sleep(pause / 3).await;
        self.site.store.restore();
        self.site.store.set_mode(fake_store::StoreMode::Up);
        tokio::time::sleep(pause).await;
        self.list_all();
    }

    /// Writes the entries of all workers to the store, as their heartbeats do.
    fn list_all(&self) {
        let site = &self.site;
        for server in &site.servers {
            let is_draining = self.draining.iter().any(|(id, _)| *id == server.id);
            let state = if is_draining { "draining" } else { "ready" };
            site.list(server, site::SHOP, state);
        }
        for engine in site.prefills.iter().chain(&site.decodes) {
            site.list(engine, site::LLM, "ready");
        }
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

    /// Drains the first server; the server stays draining for the rest of the run. It says so in its
    /// answers at once, and in the store after a pause.
    async fn drain_server(&mut self, pause: time::Duration) {
        if !self.draining.is_empty() {
            return;
        }
        let server = self.site.servers[0].clone();
        server.leave();
        self.draining
            .push((server.id.clone(), time::Instant::now()));
        tokio::time::sleep(pause).await;
        self.site.list(&server, site::SHOP, "draining");
    }

    fn inject_worker_faults(&mut self) {
        let site = &self.site;
        for worker in site
            .servers
            .iter()
            .chain(&site.prefills)
            .chain(&site.decodes)
        {
            worker.script([worker_faults::choose(&mut self.random)]);
        }
    }
}
