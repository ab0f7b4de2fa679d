//! Case: streams are joined from two software versions after all instances were killed, where the old
//! version has just left and another request of the same session was sent to the new one.

use std::sync::Mutex;
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
const PROMPT: u64 = 2_000;
const SESSIONS: usize = 12;
const OUTPUT: u64 = 400;
const EVENT_MS: u64 = 25;
const DEADLINE_MS: u64 = 14_000;

/// Pause of a client before it takes its stream up.
const RETRY_PAUSE: Duration = Duration::from_millis(1_500);

/// Times since the start of the instances.
const FIRST_MS: u64 = 10_000;
const NEW_VERSION_MS: u64 = 11_000;
const OLD_DRAINS_MS: u64 = 11_500;
const SECOND_MS: u64 = 12_500;
const KILL_MS: u64 = 14_500;
const OLD_EXITS_MS: u64 = 14_700;
const BACK_MS: u64 = 15_500;
const END_MS: u64 = 26_000;

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
    let start_engines = |version: &'static str| -> Vec<Engine> {
        [("prefill", 1), ("decode", 1), ("decode", 2)]
            .into_iter()
            .map(|(stage, number)| {
                let spec = EngineSpec {
                    id: format!("i-{version}-{stage}-{number}"),
                    ip: services,
                    service: SERVICE.to_owned(),
                    zone: "zone-a".to_owned(),
                    stage,
                    version,
                    marks_events: true,
                    kv_tokens: KV_TOKENS,
                    tokens_per_ms: 55.5556,
                    event_ms: EVENT_MS,
                    require_fence: true,
                    switch: Duration::from_secs(6),
                };
                Engine::start(spec, &store, &handles, record)
            })
            .collect()
    };
    let old = start_engines("v1");
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
    let streams = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for number in 0..SESSIONS {
            let (fronts, streams) = (&fronts, &streams);
            scope.spawn(move || {
                wait_to(FIRST_MS);
                let versions = read_stream(number, fronts, record);
                streams.lock().unwrap().push((number, versions));
            });
            scope.spawn(move || {
                wait_to(SECOND_MS);
                let id = format!("second{number}");
                let session = format!("session{number}");
                let fields = format!("X-Deadline-Ms: {DEADLINE_MS}\r\n");
                let request = site::session_request("spec", &id, &session, PROMPT, 10, &fields);
                record.write(format!("client sends {id}, of {session}"));
                let front = fronts[number % fronts.len()];
                let outcome = http::send(front, &request, Duration::from_secs(14));
                record.write(format!(
                    "client gets for {id}: status {}, complete {}",
                    outcome.status, outcome.is_complete
                ));
            });
        }
        wait_to(NEW_VERSION_MS);
        let _new = start_engines("v2");
        record.write("workers of v2 have started");
        wait_to(OLD_DRAINS_MS);
        for engine in &old {
            engine.report_draining();
        }
        wait_to(KILL_MS);
        if trouble {
            for node in &mut nodes {
                node.kill();
            }
            record.write("all processes are killed");
        }
        wait_to(OLD_EXITS_MS);
        for engine in &old {
            engine.exit();
        }
        wait_to(BACK_MS);
        if trouble {
            for node in &mut nodes {
                node.start();
            }
            record.write("all processes are started again");
        }
        wait_to(END_MS);
    });
    for node in &nodes {
        for event in ["streams_searched", "stream_taken_up"] {
            for line in node.log_lines(event) {
                record.write(format!("log of {}: {line}", node.spec.name));
            }
        }
    }
    let streams = streams.lock().unwrap();
    let has_begun = streams.iter().filter(|(_, versions)| !versions.is_empty()).count();
    let joined = streams.iter().filter(|(_, versions)| versions.len() > 1).count();
    record.write(format!(
        "{has_begun} of {SESSIONS} streams began, {joined} hold events of two versions (more than two break the rule)"
    ));
    if has_begun < SESSIONS {
        return 2;
    }
    i32::from(joined > 2)
}

/// Reads a stream, takes it up again where it breaks off, as a client does until its deadline, and
/// returns the versions that have written its events.
fn read_stream(
    number: usize,
    fronts: &[std::net::SocketAddr],
    record: &Record,
) -> std::collections::BTreeSet<String> {
    let begun = Instant::now();
    let session = format!("session{number}");
    let mut versions = std::collections::BTreeSet::new();
    let mut last = 0;
    let mut first_id = None;
    // The first attempt and one retry, as on the sheet.
    for attempt in 0..2 {
        let left = DEADLINE_MS.saturating_sub(begun.elapsed().as_millis() as u64);
        if left == 0 {
            break;
        }
        let id = format!("first{number}-{attempt}");
        let mut fields = format!("X-Deadline-Ms: {left}\r\n");
        if let Some(first_id) = &first_id {
            fields.push_str(&format!("Last-Event-Id: {last}\r\nResumes: {first_id}\r\n"));
        }
        let request = site::session_request("spec", &id, &session, PROMPT, OUTPUT, &fields);
        record.write(format!("client sends {id}, of {session}, after event {last}"));
        let front = fronts[(number + attempt) % fronts.len()];
        let outcome = http::send(front, &request, Duration::from_millis(left));
        if outcome.status == 200 {
            let text = outcome.message.text();
            let numbers = text.lines().filter_map(|line| line.strip_prefix("id: "));
            last = numbers.filter_map(|number| number.parse().ok()).last().unwrap_or(last);
            let wrote = text.lines().filter_map(|line| line.strip_prefix("data: "));
            let wrote = wrote.filter_map(|line| line.split(' ').next());
            versions.extend(wrote.map(str::to_owned));
            first_id.get_or_insert_with(|| id.clone());
        }
        record.write(format!(
            "client gets for {id}: status {}, complete {}, up to event {last}, so far by {versions:?}",
            outcome.status, outcome.is_complete
        ));
        if outcome.status == 200 && outcome.is_complete {
            break;
        }
        thread::sleep(RETRY_PAUSE);
    }
    versions
}
