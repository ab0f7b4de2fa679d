//! Case: two instances give orders to the engines at the same time, while the link between them is cut
//! and a third instance reaches both.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{Engine, EngineSpec, Handles, Order};
use crate::http;
use crate::link;
use crate::node::{Block, Node, NodeSpec};
use crate::record::Record;
use crate::site;
use crate::store::Store;

const SERVICE: &str = "quote-llm";
const KV_TOKENS: u64 = 96_426;
const LEASE_MS: u64 = 3_000;
const STABLE_WINDOW_MS: u64 = 3_000;
/// Time from the start of the instances to the cut.
const CUT_AFTER_MS: u64 = 4_000;
/// Time for which the link is cut.
const CUT_MS: u64 = 12_000;
/// Time from the start of the instances to that of the traffic.
const TRAFFIC_AFTER_MS: u64 = 10_000;
/// Time from the start of the instances to the end of the run.
const LENGTH_MS: u64 = 26_000;

/// Plays the case with engines that check fencing tokens, and with engines that don't.
pub fn run(trouble: bool, directory: &std::path::Path, record: &Record) -> i32 {
    let statuses = [true, false].map(|require_fence| play(trouble, require_fence, directory, record));
    *statuses.iter().max().unwrap_or(&2)
}

fn play(trouble: bool, require_fence: bool, directory: &std::path::Path, record: &Record) -> i32 {
    record.write(format!("--- requireFence = {require_fence}"));
    let directory = &directory.join(format!("fence-{require_fence}"));
    if std::fs::create_dir_all(directory).is_err() {
        return 2;
    }
    let block = Block::find();
    let services = block.ip(14);
    let store = Store::start(services);
    let size = site::EngineSize {
        slots: 64,
        kv_tokens: KV_TOKENS,
    };
    site::write_config(&store, SERVICE, &size);
    let handles = Handles::default();
    let engines: Vec<Engine> = (1..=4)
        .map(|number| {
            let spec = EngineSpec {
                id: format!("i-engine-{number}"),
                ip: services,
                service: SERVICE.to_owned(),
                zone: format!("zone-{}", ["a", "b", "c", "a"][number - 1]),
                stage: "decode",
                version: "v1",
                marks_events: false,
                kv_tokens: KV_TOKENS,
                tokens_per_ms: 55.5556,
                event_ms: 5,
                require_fence,
                switch: Duration::from_secs(6),
            };
            Engine::start(spec, &store, &handles, record)
        })
        .collect();
    let hosts: [u8; 3] = [11, 12, 13];
    let port = |host: u8| 7_660 + 20 * u16::from(host - 11);
    let mut nodes: Vec<Node> = hosts
        .iter()
        .map(|host| {
            let spec = NodeSpec {
                name: format!("front-{host}"),
                ip: block.ip(*host),
                zone: format!("zone-{}", ["a", "b", "c"][usize::from(host - 11)]),
                seeds: hosts.iter().map(|host| block.ip(*host)).collect(),
                store: store.address,
                internal_ports: (port(*host), port(*host) + 15),
                require_fence,
            };
            Node::prepare(spec, directory)
        })
        .collect();
    let end = |host: u8| (block.ip(host), port(host));
    let first_link = link::open(end(11), end(12));
    let _others = [link::open(end(11), end(13)), link::open(end(12), end(13))];
    let started = record.now();
    for node in &mut nodes {
        node.start();
    }
    if !nodes.iter().all(Node::wait_ready) || !wait_until_met(&nodes) {
        record.write("the instances did not become ready and meet");
        return 2;
    }
    record.write("all instances are ready and have met");

    let wait_to = |millis: u64| {
        thread::sleep(Duration::from_millis((started + millis).saturating_sub(record.now())));
    };
    let stop = AtomicBool::new(false);
    let answers = Mutex::new(Vec::new());
    thread::scope(|scope| {
        scope.spawn(|| {
            if trouble {
                wait_to(CUT_AFTER_MS);
                record.write("the link between front-11 and front-12 is cut");
                first_link.store(true, Ordering::Relaxed);
                wait_to(CUT_AFTER_MS + CUT_MS);
                first_link.store(false, Ordering::Relaxed);
                record.write("the link between front-11 and front-12 is whole");
            }
        });
        wait_to(TRAFFIC_AFTER_MS);
        for node in &nodes {
            let (stop, answers) = (&stop, &answers);
            scope.spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{}-{number}", node.spec.name);
                    let request = site::stream_request("spec", &id, 2_000, 15);
                    record.write(format!("client sends {id}"));
                    let sent = record.now() - started;
                    let outcome = http::send(node.front(), &request, Duration::from_secs(14));
                    let is_whole = outcome.status == 200
                        && outcome.is_complete
                        && outcome.message.text() == site::whole_stream(&id, 15);
                    record.write(format!(
                        "client gets for {id}: status {}, whole {is_whole}",
                        outcome.status
                    ));
                    answers.lock().unwrap().push((sent, is_whole));
                    thread::sleep(Duration::from_millis(400));
                }
            });
        }
        wait_to(LENGTH_MS);
        stop.store(true, Ordering::Relaxed);
    });
    for second in TRAFFIC_AFTER_MS / 1_000..LENGTH_MS / 1_000 {
        let answers = answers.lock().unwrap();
        let sent = answers.iter().filter(|(sent, _)| sent / 1_000 == second);
        let served = sent.clone().filter(|(_, is_whole)| *is_whole).count();
        record.write(format!("second {second}: {served} of {} requests served", sent.count()));
    }

    let mut is_broken = false;
    let mut machines = std::collections::BTreeSet::new();
    for engine in &engines {
        let orders = engine.orders.lock().unwrap().clone();
        machines.extend(orders.iter().map(|order| order.machine));
        for pair in orders.windows(2) {
            is_broken |= takes_turns(pair, started, record);
        }
    }
    let names: Vec<String> = machines.iter().map(Ipv4Addr::to_string).collect();
    record.write(format!("machines that gave orders: {}", names.join(", ")));
    if machines.is_empty() {
        record.write("no order was given: the case did not come about");
        return 2;
    }
    i32::from(is_broken)
}

/// Returns whether two orders in a row to one engine come from two machines in touch within `leaseMs`.
fn takes_turns(pair: &[Order], started: u64, record: &Record) -> bool {
    let [one, other] = pair else { return false };
    let is_in_touch = one.at.min(other.at) > started + STABLE_WINDOW_MS;
    let is_broken = one.machine != other.machine && other.at - one.at < LEASE_MS && is_in_touch;
    if is_broken {
        record.write(format!(
            "{}: {} ({}) and {} ({}) take turns within {} ms, answers {} and {}, tokens {} and {}",
            one.engine,
            one.holder,
            one.machine,
            other.holder,
            other.machine,
            other.at - one.at,
            one.status,
            other.status,
            one.fence,
            other.fence
        ));
    }
    is_broken
}

fn wait_until_met(nodes: &[Node]) -> bool {
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        let have_met = nodes.iter().all(|node| {
            let lines = node.log_lines("instances_changed");
            lines.last().is_some_and(|line| line.contains("\"alive\":3"))
        });
        if have_met {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
