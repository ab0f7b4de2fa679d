//! Stand-in of a model worker.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;

/// How an engine works.
#[derive(Clone)]
pub struct EngineSpec {
    pub id: String,
    pub ip: Ipv4Addr,
    pub service: String,
    pub zone: String,
    pub stage: &'static str,
    /// Version of the software.
    pub version: &'static str,
    /// Whether events name the version.
    pub marks_events: bool,
    pub kv_tokens: u64,
    pub tokens_per_ms: f64,
    pub event_ms: u64,
    pub require_fence: bool,
    pub switch: Duration,
}

/// KV caches that prefill engines keep, by address and handle, with the time of their end.
pub type Handles = Arc<Mutex<BTreeMap<String, Instant>>>;

pub const HANDLE_TTL: Duration = Duration::from_millis(500);

/// An order that reached an engine.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: u64,
    pub engine: String,
    pub machine: Ipv4Addr,
    pub holder: String,
    pub fence: u64,
    pub status: u16,
}

/// A request that reached an engine, other than a prefill.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: u64,
    pub engine: String,
    pub id: String,
}

struct State {
    stage: &'static str,
    leaving: bool,
    sequence: u64,
    busy: bool,
    largest_fence: u64,
    held_tokens: u64,
    ended: bool,
    connections: Vec<TcpStream>,
    prefills: Vec<String>,
    /// Parts of prompts in memory, with their tokens.
    parts: BTreeMap<String, u64>,
}

#[derive(Clone)]
pub struct Engine {
    pub spec: Arc<EngineSpec>,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    prefill_lane: Arc<Mutex<()>>,
    handles: Handles,
    store: Store,
    record: Record,
    pub orders: Arc<Mutex<Vec<Order>>>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    born: u64,
}

impl Engine {
    pub fn start(spec: EngineSpec, store: &Store, handles: &Handles, record: &Record) -> Self {
        let listener = TcpListener::bind((spec.ip, 0)).expect("the engine's address is free");
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let engine = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(State {
                stage: spec.stage,
                leaving: false,
                sequence: 0,
                busy: false,
                largest_fence: 0,
                held_tokens: 0,
                ended: false,
                connections: Vec::new(),
                prefills: Vec::new(),
                parts: BTreeMap::new(),
            })),
            spec: Arc::new(spec),
            prefill_lane: Arc::default(),
            handles: handles.clone(),
            store: store.clone(),
            record: record.clone(),
            orders: Arc::default(),
            arrivals: Arc::default(),
            born: born.map_or(1, |time| time.as_millis() as u64),
        };
        engine.write_entry();
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                {
                    let mut state = engine.state.lock().unwrap();
                    if state.ended {
                        return;
                    }
                    state.connections.extend(stream.try_clone());
                }
                thread::spawn(move || {
                    let _ = engine.serve(stream);
                });
            }
        });
        engine
    }

    fn write_entry(&self) {
        let (stage, leaving, sequence) = {
            let state = self.state.lock().unwrap();
            (state.stage, state.leaving, state.sequence)
        };
        let EngineSpec { service, zone, version, .. } = &*self.spec;
        let text = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\
             \"slots\":64,\"state\":\"{}\",\"coldRemainingMs\":0,\"stage\":\"{stage}\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\
             \"born\":{}}}",
            self.address,
            if leaving { "draining" } else { "ready" },
            self.born,
        );
        self.store.put(&format!("servers/{}", self.spec.id), &text);
    }

    /// Reports to the store that the engine is leaving; returns the time of the acknowledgement.
    pub fn report_draining(&self) -> u64 {
        self.state.lock().unwrap().leaving = true;
        self.write_entry();
        self.record
            .write(format!("store acknowledges: {} is draining", self.spec.id));
        self.record.now()
    }

    /// Ends the engine: its entry goes, its connections break off.
    pub fn exit(&self) {
        self.record.write(format!("{} exits", self.spec.id));
        let connections = {
            let mut state = self.state.lock().unwrap();
            state.ended = true;
            std::mem::take(&mut state.connections)
        };
        self.store.remove(&format!("servers/{}", self.spec.id));
        for connection in connections {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Ids of the requests whose prompts this engine has begun to read.
    pub fn prefills(&self) -> Vec<String> {
        self.state.lock().unwrap().prefills.clone()
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let machine = match stream.peer_addr()? {
            SocketAddr::V4(address) => *address.ip(),
            SocketAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        };
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read_request(&mut reader)? {
            if self.state.lock().unwrap().ended {
                return Ok(());
            }
            self.answer(&mut stream, &request, machine)?;
        }
        Ok(())
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        request: &Message,
        machine: Ipv4Addr,
    ) -> io::Result<()> {
        let id = &self.spec.id;
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            return http::respond(stream, 421, &[("X-Instance-Id", id)], b"");
        }
        match (request.method(), request.path()) {
            ("GET", "/health") => {
                let status = if self.state.lock().unwrap().leaving { 503 } else { 200 };
                http::respond(stream, status, &[("X-Instance-Id", id)], b"")
            }
            ("GET", "/report") => self.report(stream),
            ("GET", "/kv-list") => {
                let held: Vec<String> = self
                    .state
                    .lock()
                    .unwrap()
                    .parts
                    .iter()
                    .map(|(part, tokens)| format!("[\"\",\"{part}\",{tokens},\"m\"]"))
                    .collect();
                let body = format!("{{\"epoch\":1,\"nextToken\":1,\"held\":[{}]}}", held.join(","));
                let json = [("Content-Type", "application/json")];
                http::respond(stream, 200, &json, body.as_bytes())
            }
            ("GET", "/kv-events") => {
                let body = b"{\"epoch\":1,\"nextToken\":1,\"lost\":false,\"events\":[]}";
                http::respond(stream, 200, &[("Content-Type", "application/json")], body)
            }
            ("POST", "/order") => self.order(stream, request, machine),
            ("DELETE", path) if path.starts_with("/kv-handle/") => {
                let handle = path.trim_start_matches("/kv-handle/");
                let key = format!("{}/{handle}", self.address);
                let found = self.handles.lock().unwrap().remove(&key).is_some();
                http::respond(stream, if found { 200 } else { 404 }, &[], b"")
            }
            _ if request.header("x-stage") == Some("prefill") => self.prefill(stream, request),
            _ => self.generate(stream, request),
        }
    }

    fn report(&self, stream: &mut TcpStream) -> io::Result<()> {
        let body = {
            let state = self.state.lock().unwrap();
            format!(
                "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":{},\"sequence\":{},\"waiting\":0,\"running\":0,\"kvUsed\":{},\
                 \"kvTotal\":{},\"kvHandles\":0,\"runs\":[],\"born\":{}}}",
                state.stage,
                state.busy,
                state.sequence,
                state.held_tokens,
                self.spec.kv_tokens,
                self.born
            )
        };
        let json = [("Content-Type", "application/json")];
        http::respond(stream, 200, &json, body.as_bytes())
    }

    fn order(
        &self,
        stream: &mut TcpStream,
        request: &Message,
        machine: Ipv4Addr,
    ) -> io::Result<()> {
        let text = request.text();
        let fence: u64 = field(&text, "fencingToken").parse().unwrap_or(0);
        let stage = field(&text, "stage");
        let status = {
            let mut state = self.state.lock().unwrap();
            if self.spec.require_fence && fence < state.largest_fence {
                412
            } else {
                state.largest_fence = state.largest_fence.max(fence);
                if stage == state.stage {
                    200
                } else if state.busy {
                    409
                } else {
                    state.busy = true;
                    state.sequence += 1;
                    202
                }
            }
        };
        let order = Order {
            at: self.record.now(),
            engine: self.spec.id.clone(),
            machine,
            holder: field(&text, "holder"),
            fence,
            status,
        };
        self.record.write(format!(
            "{} gets an order from {} ({machine}): stage {stage}, fencing token {fence}; answers {status}",
            order.engine, order.holder
        ));
        self.orders.lock().unwrap().push(order);
        if status == 202 {
            let engine = self.clone();
            thread::spawn(move || {
                thread::sleep(engine.spec.switch);
                {
                    let mut state = engine.state.lock().unwrap();
                    state.stage = if stage == "prefill" { "prefill" } else { "decode" };
                    state.busy = false;
                }
                engine.write_entry();
            });
        }
        http::respond(stream, status, &[], b"")
    }

    /// Keeps the parts of a prompt that was read.
    fn keep_parts(&self, request: &Message) {
        let prefix = request.header("x-prompt-prefix").unwrap_or("");
        let parts = prefix.split(',').filter_map(|part| part.trim().split_once(':'));
        let parts = parts.map(|(id, tokens)| (id.to_owned(), tokens.parse().unwrap_or(0)));
        self.state.lock().unwrap().parts.extend(parts);
    }

    fn reject(&self, stream: &mut TcpStream, id: &str, reason: &str) -> io::Result<()> {
        self.record
            .write(format!("{} rejects {id}: {reason}", self.spec.id));
        let headers = [("X-Not-Executed", "1"), ("X-Request-Id", id)];
        http::respond(stream, 503, &headers, b"")
    }

    fn prefill(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let id = request.header("x-request-id").unwrap_or("");
        let (prompt, _) = usage(request);
        {
            let mut state = self.state.lock().unwrap();
            if state.stage != "prefill" || state.busy {
                drop(state);
                return http::respond(stream, 421, &[("X-Instance-Id", &self.spec.id)], b"");
            }
            state.prefills.push(id.to_owned());
        }
        self.record
            .write(format!("{} begins to read the prompt of {id}", self.spec.id));
        {
            let _lane = self.prefill_lane.lock().unwrap();
            let millis = prompt as f64 / self.spec.tokens_per_ms;
            thread::sleep(Duration::from_secs_f64(millis / 1_000.0));
        }
        self.keep_parts(request);
        self.record
            .write(format!("{} has read the prompt of {id}", self.spec.id));
        let handle = format!("h{id}");
        let key = format!("{}/{handle}", self.address);
        let until = Instant::now() + HANDLE_TTL;
        self.handles.lock().unwrap().insert(key, until);
        let body = format!("{{\"kvHandle\":\"{handle}\",\"tokens\":{prompt},\"version\":1}}");
        let headers = [("Content-Type", "application/json"), ("X-Request-Id", id)];
        http::respond(stream, 200, &headers, body.as_bytes())
    }

    fn generate(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let (prompt, output) = usage(request);
        let arrival = Arrival {
            at: self.record.now(),
            engine: self.spec.id.clone(),
            id: id.clone(),
        };
        self.record
            .write(format!("{id} reaches {}", self.spec.id));
        self.arrivals.lock().unwrap().push(arrival);
        let needed = prompt + output;
        {
            let mut state = self.state.lock().unwrap();
            if state.stage != "decode" {
                drop(state);
                return http::respond(stream, 421, &[("X-Instance-Id", &self.spec.id)], b"");
            }
            if state.busy || state.held_tokens + needed > self.spec.kv_tokens {
                let reason = if state.busy { "it changes its stage" } else { "its memory is full" };
                drop(state);
                return self.reject(stream, &id, reason);
            }
            state.held_tokens += needed;
        }
        let result = self.run(stream, request, &id, prompt, output);
        self.state.lock().unwrap().held_tokens -= needed;
        result
    }

    fn run(
        &self,
        stream: &mut TcpStream,
        request: &Message,
        id: &str,
        prompt: u64,
        output: u64,
    ) -> io::Result<()> {
        match request.header("x-kv-source") {
            Some(source) => {
                let until = self.handles.lock().unwrap().remove(source);
                if until.is_none_or(|until| until < Instant::now()) {
                    return self.reject(stream, id, "its handle is gone");
                }
            }
            None => {
                let _lane = self.prefill_lane.lock().unwrap();
                let millis = prompt as f64 / self.spec.tokens_per_ms * 2.0;
                thread::sleep(Duration::from_secs_f64(millis / 1_000.0));
            }
        }
        self.keep_parts(request);
        self.record.write(format!("{} runs {id}", self.spec.id));
        let head = format!(
            "HTTP/1.1 200 X\r\nX-Request-Id: {id}\r\nX-Response-Stamp: {}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.spec.id
        );
        let first: u64 = request
            .header("last-event-id")
            .and_then(|last| last.parse::<u64>().ok())
            .map_or(1, |last| last + 1);
        let sending = (|| {
            stream.write_all(head.as_bytes())?;
            for number in first..=output {
                thread::sleep(Duration::from_millis(self.spec.event_ms));
                let event = if self.spec.marks_events {
                    format!("id: {number}\ndata: {} wrote this\n\n", self.spec.version)
                } else {
                    format!("id: {number}\ndata: {id}-{number}\n\n")
                };
                stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            }
            stream.write_all(b"0\r\n\r\n")
        })();
        let how = if sending.is_ok() { "to its end" } else { "up to a break of the connection" };
        self.record
            .write(format!("{} has run {id} {how}", self.spec.id));
        sending
    }
}

/// Prompt tokens and maximum output tokens of a request.
fn usage(request: &Message) -> (u64, u64) {
    let text = request.header("x-token-usage").unwrap_or("0,0");
    let (prompt, output) = text.split_once(',').unwrap_or(("0", "0"));
    (
        prompt.trim().parse().unwrap_or(0),
        output.trim().parse().unwrap_or(0),
    )
}

/// Value of a field of a flat JSON object.
fn field(text: &str, name: &str) -> String {
    let mark = format!("\"{name}\":");
    let Some(start) = text.find(&mark) else {
        return String::new();
    };
    let rest = text[start + mark.len()..].trim_start();
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    rest[..end].trim().trim_matches('"').to_owned()
}
