//! Case: a stream is sent to a decode engine that has been draining for longer than `drainMs`.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{Engine, EngineSpec, Handles};
use crate::http;
use crate::node::{Block, Node, NodeSpec};
use crate::record::Record;
use crate::site;
use crate::store::Store;

const SERVICE: &str = "quote-llm";
const KV_TOKENS: u64 = 96_426;
const PROMPT: u64 = 80_000;
const TOKENS_PER_MS: f64 = 33.3333;
const EVENT_MS: u64 = 20;
const DRAIN_MS: u64 = 2_000;
/// "and a little longer": time after `drainMs` for which the engine serves on.
const LINGER_MS: u64 = 1_200;

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
    let start_engine = |id: &str, stage| {
        let spec = EngineSpec {
            id: id.to_owned(),
            ip: services,
            service: SERVICE.to_owned(),
            zone: "zone-a".to_owned(),
            stage,
            version: "v1",
            marks_events: false,
            kv_tokens: KV_TOKENS,
            tokens_per_ms: TOKENS_PER_MS,
            event_ms: EVENT_MS,
            require_fence: true,
            switch: Duration::from_secs(6),
        };
        Engine::start(spec, &store, &handles, record)
    };
    let prefills = ["i-prefill-1", "i-prefill-2"].map(|id| start_engine(id, "prefill"));
    let decodes = ["i-decode-1", "i-decode-2"].map(|id| start_engine(id, "decode"));
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
    for node in &mut nodes {
        node.start();
    }
    if !nodes.iter().all(Node::wait_ready) {
        record.write("an instance did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));

    let front = nodes[0].front();
    let ask = &|id: &str, output: u64| {
        let request = site::stream_request("reorder", id, PROMPT, output);
        record.write(format!("client sends {id} to front-11"));
        let outcome = http::send(front, &request, Duration::from_secs(14));
        let is_whole = outcome.status == 200
            && outcome.is_complete
            && outcome.message.text() == site::whole_stream(id, output);
        let text = match (outcome.status, is_whole) {
            (200, true) => "the whole stream".to_owned(),
            (200, false) => {
                let events = outcome.message.text().matches("id: ").count();
                format!("a stream that breaks off (of the part read: {events} events)")
            }
            (0, _) => "no answer".to_owned(),
            (status, _) => format!("status {status}"),
        };
        record.write(format!("client gets for {id}: {text}"));
        (outcome.status, is_whole)
    };
    for number in 1..=4 {
        let (status, is_whole) = ask(&format!("warm{number}"), 71);
        if !is_whole {
            record.write(format!("a warm-up request failed with status {status}"));
            return 2;
        }
    }

    // A long answer takes the memory of one of the two decode engines.
    let long_output = 400;
    let result = Arc::new(Mutex::new(None));
    thread::scope(|scope| {
        scope.spawn(|| ask("long", long_output));
        let Some(taken) = wait_for(|| arrival_of(&decodes, "long")) else {
            record.write("the long request reached no decode engine");
            return;
        };
        let leaving = decodes.iter().find(|engine| engine.spec.id != taken.engine);
        let Some(leaving) = leaving else { return };
        let asked = result.clone();
        scope.spawn(move || *asked.lock().unwrap() = Some(ask("late", 71)));
        let is_read = || prefills.iter().any(|engine| engine.prefills().contains(&"late".to_owned()));
        if wait_for(|| is_read().then_some(())).is_none() {
            record.write("the prompt of the request was not read");
            return;
        }
        if trouble {
            thread::sleep(Duration::from_millis(50));
            let acknowledged = leaving.report_draining();
            let end = acknowledged + DRAIN_MS + LINGER_MS;
            thread::sleep(Duration::from_millis(end.saturating_sub(record.now())));
            let arrivals = leaving.arrivals.lock().unwrap().clone();
            leaving.exit();
            for arrival in arrivals.iter().filter(|arrival| arrival.id == "late") {
                let after = arrival.at - acknowledged;
                record.write(format!(
                    "{} reached {} {after} ms after the store's acknowledgement",
                    arrival.id, arrival.engine
                ));
            }
            let is_late = arrivals
                .iter()
                .any(|arrival| arrival.at > acknowledged + DRAIN_MS);
            record.write(format!("work later than drainMs ({DRAIN_MS} ms): {is_late}"));
            LATE.store(is_late, std::sync::atomic::Ordering::Relaxed);
        }
    });
    let Some((status, is_whole)) = *result.lock().unwrap() else {
        record.write("the case did not come about");
        return 2;
    };
    if !trouble {
        let held = is_whole;
        record.write(format!("without the disruption, the whole stream arrived: {held}"));
        return i32::from(!held);
    }
    let is_late = LATE.load(std::sync::atomic::Ordering::Relaxed);
    record.write(format!(
        "the request was accepted and its stream lost: {}",
        status == 200 && !is_whole
    ));
    i32::from(is_late)
}

static LATE: std::sync::atomic::AtomicBool = std::sync::atomic::AtomicBool::new(false);

fn arrival_of(engines: &[Engine], id: &str) -> Option<crate::engine::Arrival> {
    engines
        .iter()
        .flat_map(|engine| engine.arrivals.lock().unwrap().clone())
        .find(|arrival| arrival.id == id)
}

fn wait_for<T>(found: impl Fn() -> Option<T>) -> Option<T> {
    let until = Instant::now() + Duration::from_secs(12);
    while Instant::now() < until {
        if let Some(found) = found() {
            return Some(found);
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}
