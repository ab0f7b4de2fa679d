//! Another writer overwrites the entry of a worker that is draining by one without all fields.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::site::{self, Node, Places, Record, Store, TempFolder};

/// `drainMs` of the settings, in seconds.
const DRAIN: f64 = 2.0;

/// Time of a run.
const WORK: Duration = Duration::from_millis(60);

/// Time after the report from which the other writer writes, once the worker has written again.
const WRITE_TIME: Duration = Duration::from_millis(2_100);

/// Time from the other writer's entry to the end of the worker's process.
const LAST_TIME: Duration = Duration::from_millis(1_000);

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"place-order","host":"straps.example","prefix":"/order/","routeType":"non_idempotent","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"shopfront","maxAttempts":1}],"services":[{"name":"shopfront","healthPath":"/health"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}"#;

/// A worker of the plain service.
struct Server {
    id: &'static str,
    address: SocketAddr,
    born: u64,
    is_draining: AtomicBool,
    /// Whether the process has ended: it runs nothing to its end and answers nothing.
    has_ended: AtomicBool,
    /// Number of heartbeats.
    beats: AtomicU64,
    /// Times at which requests began to run, with their ids.
    runs: Mutex<Vec<(f64, String)>>,
}

impl Server {
    fn start(id: &'static str, places: &Places, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind((places.ip(3), 0)).expect("a free port");
        let server = Arc::new(Self {
            id,
            address: listener.local_addr().unwrap(),
            born: site::unix_millis(),
            is_draining: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            beats: AtomicU64::new(0),
            runs: Mutex::default(),
        });
        let serving = Arc::clone(&server);
        let record = Arc::clone(record);
        site::serve(listener, move |message, stream, _| {
            serving.answer(message, stream, &record)
        });
        server
    }

    fn answer(&self, message: &site::Message, stream: &mut TcpStream, record: &Record) -> bool {
        if self.has_ended.load(Ordering::Relaxed) {
            return false;
        }
        if message
            .header("x-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return site::answer(
                stream,
                "421 Misdirected Request",
                "X-Not-Executed: 1\r\n",
                "{}",
            );
        }
        let headers = format!("X-Instance-Id: {}\r\n", self.id);
        if message.target() == "/health" {
            let status = if self.is_draining.load(Ordering::Relaxed) {
                "503 Service Unavailable"
            } else {
                "200 OK"
            };
            return site::answer(stream, status, &headers, "{}");
        }
        let id = message.header("x-request-id").unwrap_or("").to_owned();
        self.runs
            .lock()
            .unwrap()
            .push((record.seconds(), id.clone()));
        thread::sleep(WORK);
        if self.has_ended.load(Ordering::Relaxed) {
            record.write(&format!("{} ends while it runs {id}", self.id));
            return false;
        }
        let headers = format!(
            "X-Request-Id: {id}\r\nX-Response-Stamp: s-{}-{id}\r\n",
            self.id
        );
        site::answer(stream, "200 OK", &headers, "{\"done\":true}")
    }

    fn register(&self, store: &Store, sequence: u64) {
        let state = if self.is_draining.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        let entry = format!(
            "{{\"service\":\"shopfront\",\"address\":\"{}\",\"zone\":\"bole\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.address, self.born
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }
}

/// Sends calls on one connection until told to stop; returns how they were answered.
fn call_on(
    address: SocketAddr,
    stop: &AtomicBool,
    next_id: &AtomicU64,
) -> io::Result<BTreeMap<u16, u32>> {
    let mut answers = BTreeMap::new();
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while !stop.load(Ordering::Relaxed) {
        let id = format!("c{:015x}", next_id.fetch_add(1, Ordering::Relaxed));
        let text = format!(
            "POST /order/1 HTTP/1.1\r\nHost: straps.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 2500\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        stream.write_all(text.as_bytes())?;
        let Some(answer) = site::read_message(&mut reader) else {
            break;
        };
        *answers.entry(answer.status()).or_insert(0) += 1;
        thread::sleep(Duration::from_millis(100));
    }
    Ok(answers)
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Result<Option<String>, String> {
    let places = Places::find(3);
    let folder = TempFolder::create();
    let store = Store::start(places.ip(3));
    let servers = ["i-11", "i-12", "i-13", "i-14"].map(|id| Server::start(id, &places, record));
    for server in &servers {
        server.register(&store, 0);
    }
    {
        let (servers, store) = (servers.clone(), Arc::clone(&store));
        thread::spawn(move || {
            for sequence in 1.. {
                thread::sleep(Duration::from_millis(1_200));
                for server in &servers {
                    if !server.has_ended.load(Ordering::Relaxed) {
                        server.register(&store, sequence);
                        server.beats.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }
        });
    }
    store.put("op/config", CONFIG);
    let nodes: Vec<Node> = (1..=2)
        .map(|machine| {
            let settings = places.settings(machine, &[1, 2], store.address);
            Node::start(machine, &settings, &folder.0)
        })
        .collect();
    for machine in 1..=2 {
        if !site::wait_ready(&places, machine, Duration::from_secs(10)) {
            return Err(format!("machine {machine} isn't ready"));
        }
    }
    record.write("two machines are ready");
    let stop = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicU64::new(1));
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let address = places.front(client % 2 + 1);
            let (stop, next_id) = (Arc::clone(&stop), Arc::clone(&next_id));
            thread::spawn(move || call_on(address, &stop, &next_id))
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    let leaving = &servers[0];
    leaving.is_draining.store(true, Ordering::Relaxed);
    leaving.register(&store, 100);
    let drained_at = record.seconds();
    record.write(&format!(
        "the store accepts that {} is draining",
        leaving.id
    ));
    thread::sleep(WRITE_TIME);
    let beats = leaving.beats.load(Ordering::Relaxed);
    while leaving.beats.load(Ordering::Relaxed) == beats {
        thread::sleep(Duration::from_millis(20));
    }
    if has_trouble {
        let entry = format!(
            "{{\"service\":\"shopfront\",\"address\":\"{}\",\"zone\":\"bole\",\"slots\":6,\"state\":\"ready\"}}",
            leaving.address
        );
        store.put(&format!("servers/{}", leaving.id), &entry);
        record.write(&format!("another writer writes {entry}"));
    }
    thread::sleep(LAST_TIME);
    leaving.has_ended.store(true, Ordering::Relaxed);
    record.write(&format!("{} ends", leaving.id));
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let answers = client.join().map_err(|_| "a client failed".to_owned())?;
        record.write(&format!("a client's answers by status: {answers:?}"));
    }
    drop(nodes);
    let runs = leaving.runs.lock().unwrap().clone();
    let before = runs.iter().filter(|(at, _)| *at < drained_at).count();
    if before == 0 {
        return Err("the worker got nothing before it was draining".to_owned());
    }
    let late: Vec<_> = runs
        .iter()
        .filter(|(at, _)| *at > drained_at + DRAIN)
        .collect();
    for (at, id) in &late {
        record.write(&format!("{} ran {id} at {at:.3} s", leaving.id));
    }
    Ok(late.first().map(|(at, _)| {
        format!(
            "DRAIN: {} requests ran at {} later than drainMs after it was draining, the first {:.3} s after",
            late.len(),
            leaving.id,
            at - drained_at
        )
    }))
}
