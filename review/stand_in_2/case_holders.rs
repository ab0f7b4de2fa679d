//! All machines lose power at once. Two come back; the three that are the seeds stay lost.

use std::{
    io,
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    engine::{Deed, Fleet, Kind, Order, Pace},
    site::{self, Node, Places, Record, Store, TempFolder},
};

const PACE: Pace = Pace {
    prefill: Duration::from_millis(150),
    event: Duration::from_millis(2),
    events: 20,
    switch: Duration::from_secs(6),
};

/// Bounds of the settings, in seconds.
const LEASE: f64 = 3.0;
const STABLE_WINDOW: f64 = 3.0;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"export-note","host":"straps.example","prefix":"/note/","routeType":"streaming","timeoutMs":14000,"targetLatencyMs":900,"targetGapMs":300,"priority":1,"service":"dossier-llm","maxAttempts":2,"resumable":true,"sticky":true}],"services":[{"name":"dossier-llm","engine":{"slots":64,"kvCapacityTokens":86095,"handleTtlS":0.5}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}"#;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Sends one request to a machine on a new connection; returns the status and whether the answer is whole.
fn request(places: &Places, machine: u8) -> io::Result<(u16, bool)> {
    let stream = TcpStream::connect_timeout(&places.front(machine), Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(14)))?;
    let id = format!("a{:015x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let body = "x".repeat(400);
    let text = format!(
        "POST /note/1 HTTP/1.1\r\nHost: straps.example\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Usage: 5000,40\r\nX-Prompt-Prefix: {id}:5000\r\nX-Deadline-Ms: 14000\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    let result = site::read_stream(&stream, &text, |_| ())?;
    Ok((result.status, result.complete))
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Result<Option<String>, String> {
    let places = Arc::new(Places::find(6));
    let folder = TempFolder::create();
    let store = Store::start(places.ip(6));
    let fleet = Fleet::create(|_, _| Deed::Run);
    for (id, stage) in [
        ("i-01", "prefill"),
        ("i-02", "decode"),
        ("i-03", "decode"),
        ("i-04", "decode"),
        ("i-05", "decode"),
        ("i-06", "decode"),
    ] {
        let kind = Kind {
            ip: places.ip(6),
            id,
            stage,
            software: "v1",
        };
        fleet.start(kind, PACE, record, &store);
    }
    store.put("op/config", CONFIG);
    let seeds = [1, 2, 3];
    let start = |machine: u8| {
        let settings = places.settings(machine, &seeds, store.address);
        Node::start(machine, &settings, &folder.0)
    };
    let mut nodes: Vec<Node> = (1..=5).map(start).collect();
    for machine in 1..=5 {
        if !site::wait_ready(&places, machine, Duration::from_secs(10)) {
            return Err(format!("machine {machine} isn't ready"));
        }
    }
    record.write("five machines are ready");
    let mut started_at = vec![record.seconds(); 6];
    if has_trouble {
        for node in &mut nodes {
            node.kill();
        }
        record.write("all five machines lose power; 1, 2 and 3 stay lost");
        thread::sleep(Duration::from_secs(2));
        nodes = vec![start(4), start(5)];
        for machine in [4, 5] {
            if !site::wait_ready(&places, machine, Duration::from_secs(10)) {
                return Err(format!("machine {machine} isn't ready"));
            }
            started_at[usize::from(machine)] = record.seconds();
        }
        record.write("machines 4 and 5 have come back and are ready");
    }
    let mut clients = Vec::new();
    for machine in nodes.iter().map(|node| node.machine) {
        for _ in 0..2 {
            let places = Arc::clone(&places);
            let record = Arc::clone(record);
            clients.push(thread::spawn(move || {
                let mut served = 0;
                for _ in 0..12 {
                    match request(&places, machine) {
                        Ok((200, true)) => served += 1,
                        other => record.write(&format!("client of machine {machine}: {other:?}")),
                    }
                    thread::sleep(Duration::from_millis(150));
                }
                served
            }));
        }
    }
    let served: u32 = clients
        .into_iter()
        .map(|client| client.join().unwrap_or(0))
        .sum();
    record.write(&format!("{served} streams served"));
    if served == 0 {
        return Err("nothing was served".to_owned());
    }
    thread::sleep(Duration::from_secs(12));
    drop(nodes);
    let mut orders = 0;
    for engine in fleet.engines() {
        let received = engine.orders.lock().unwrap().clone();
        orders += received.len();
        if let Some(fault) = judge(&received, &places, &started_at) {
            return Ok(Some(format!("ONE at worker {}: {fault}", engine.id)));
        }
    }
    if orders == 0 {
        return Err("no machine gave an order".to_owned());
    }
    Ok(None)
}

/// Checks the orders to one worker: two holders with one fencing token, or holders in touch that take
/// turns within the lease time.
fn judge(orders: &[Order], places: &Places, started_at: &[f64]) -> Option<String> {
    let is_in_touch = |order: &Order| {
        let machine = (1..=5).find(|machine| places.ip(*machine) == order.machine);
        machine.is_some_and(|machine| order.at - started_at[usize::from(machine)] >= STABLE_WINDOW)
    };
    for pair in orders.windows(2) {
        let [first, second] = pair else { continue };
        if first.machine == second.machine {
            continue;
        }
        if first.fence == second.fence {
            return Some(format!("two holders with fencing token {}", first.fence));
        }
        if second.at - first.at <= LEASE && is_in_touch(first) && is_in_touch(second) {
            return Some(format!(
                "{} ordered at {:.3} s, {} at {:.3} s, within leaseMs",
                first.holder, first.at, second.holder, second.at
            ));
        }
    }
    None
}
