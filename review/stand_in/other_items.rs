//! Case: all processes are killed while the store holds large items of other writers, one of whose keys
//! has a space.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::engine::{Engine, EngineSpec, Handles};
use crate::http;
use crate::node::{Block, Node, NodeSpec};
use crate::record::Record;
use crate::site;
use crate::store::Store;

const SERVICE: &str = "quote-llm";
const KV_TOKENS: u64 = 96_426;
/// Size of each of the items of other writers; `valueBytes` is 1,048,576.
const ITEM_BYTES: usize = 700 * 1024;
const KEYS: [&str; 2] = ["desk/price list 2025", "desk/price list 2026"];
const KILL_AFTER_MS: u64 = 12_000;
/// Time for which the processes are down.
const DOWN_MS: u64 = 900;
const RECOVERY_MS: u64 = 12_000;
const LENGTH_MS: u64 = 35_000;

pub fn run(trouble: bool, directory: &std::path::Path, record: &Record) -> i32 {
    let block = Block::find();
    let services = block.ip(14);
    let store = Store::start(services);
    let size = site::EngineSize {
        slots: 64,
        kv_tokens: KV_TOKENS,
    };
    site::write_config(&store, SERVICE, &size);
    let handles = Handles::default();
    let _engines: Vec<Engine> = [("i-prefill-1", "prefill"), ("i-decode-1", "decode")]
        .into_iter()
        .map(|(id, stage)| {
            let spec = EngineSpec {
                id: id.to_owned(),
                ip: services,
                service: SERVICE.to_owned(),
                zone: "zone-a".to_owned(),
                stage,
                version: "v1",
                marks_events: false,
                kv_tokens: KV_TOKENS,
                tokens_per_ms: 55.5556,
                event_ms: 5,
                require_fence: true,
                switch: Duration::from_secs(6),
            };
            Engine::start(spec, &store, &handles, record)
        })
        .collect();
    let mut nodes: Vec<Node> = [11, 12]
        .iter()
        .map(|host| {
            let spec = NodeSpec {
                name: format!("front-{host}"),
                ip: block.ip(*host),
                zone: "zone-a".to_owned(),
                seeds: vec![block.ip(11), block.ip(12)],
                store: store.address,
                internal_ports: (7_660, 7_675),
                require_fence: true,
            };
            Node::prepare(spec, directory)
        })
        .collect();
    let started = record.now();
    for node in &mut nodes {
        node.start();
    }
    if !nodes.iter().all(Node::wait_ready) {
        record.write("an instance did not become ready");
        return 2;
    }
    let wait_to = |millis: u64| {
        thread::sleep(Duration::from_millis((started + millis).saturating_sub(record.now())));
    };
    let fronts: Vec<_> = nodes.iter().map(Node::front).collect();
    let stop = AtomicBool::new(false);
    let answers = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for (index, front) in fronts.iter().enumerate() {
            let (stop, answers) = (&stop, &answers);
            scope.spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("c{index}-{number}");
                    let request = site::stream_request("spec", &id, 2_000, 15);
                    let sent = record.now() - started;
                    record.write(format!("client sends {id}"));
                    let outcome = http::send(*front, &request, Duration::from_secs(14));
                    let is_whole = outcome.status == 200
                        && outcome.is_complete
                        && outcome.message.text() == site::whole_stream(&id, 15);
                    let text = outcome.message.text();
                    let detail = if is_whole { "whole" } else { text.trim() };
                    record.write(format!("client gets for {id}: {} {detail}", outcome.status));
                    answers.lock().unwrap().push((sent, is_whole));
                    thread::sleep(Duration::from_millis(250));
                }
            });
        }
        wait_to(4_000);
        for key in KEYS {
            store.put(key, &"p".repeat(ITEM_BYTES));
            record.write(format!("another writer writes the item '{key}'"));
        }
        wait_to(KILL_AFTER_MS);
        if trouble {
            record.write("all processes are killed");
            for node in &mut nodes {
                node.kill();
            }
            wait_to(KILL_AFTER_MS + DOWN_MS);
            for node in &mut nodes {
                node.start();
            }
            record.write("all processes are started again");
        }
        wait_to(LENGTH_MS);
        stop.store(true, Ordering::Relaxed);
    });
    for node in &nodes {
        if let Some(line) = node.log_lines("dependency_lost").last() {
            record.write(format!("log of {}: {line}", node.spec.name));
        }
    }
    let answers = answers.lock().unwrap();
    let share = |from: u64, to: u64| {
        let sent = answers.iter().filter(|(sent, _)| (from..to).contains(sent));
        let served = sent.clone().filter(|(_, is_whole)| *is_whole).count();
        let sent = sent.count();
        record.write(format!("from {from} to {to} ms: {served} of {sent} requests served"));
        served as f64 / sent.max(1) as f64
    };
    let before = share(0, KILL_AFTER_MS - 500);
    let after = share(KILL_AFTER_MS + DOWN_MS + RECOVERY_MS, LENGTH_MS);
    if before < 0.25 {
        return 2;
    }
    i32::from(after < 0.25)
}
