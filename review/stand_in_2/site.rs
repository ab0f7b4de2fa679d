//! Stand-ins for the second review: the platform's store, workers and a client, and the router's own
//! processes started beside them. Standard library only.

use std::{
    collections::BTreeMap,
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Writes what was sent, answered and run to `record.txt`, with the seconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = fs::File::create(path).expect("the record can be written");
        Arc::new(Self {
            start: Instant::now(),
            file: Mutex::new(file),
        })
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn write(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.seconds());
    }
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    since.as_millis() as u64
}

/// An HTTP message without its body's framing.
#[derive(Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1).unwrap_or("");
        status.parse().unwrap_or(0)
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let value = query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })?;
        Some(percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        if bytes[index] == b'%' && index + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[index + 1..index + 3]).unwrap_or("20");
            decoded.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            index += 3;
        } else {
            decoded.push(bytes[index]);
            index += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.first_line.is_empty() {
                continue;
            }
            return Some(message);
        }
        if message.first_line.is_empty() {
            message.first_line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let value = value.trim().to_owned();
            message.headers.insert(name.to_ascii_lowercase(), value);
        }
    }
}

/// Reads a message with a body of known length.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    let length = message.header("content-length").unwrap_or("0");
    let mut body = vec![0; length.parse().ok()?];
    reader.read_exact(&mut body).ok()?;
    message.body = body;
    Some(message)
}

/// Sends a request on a new connection and returns the whole answer, if it has a length.
pub fn ask(address: SocketAddr, request: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// Serves each connection on a thread of its own until the process ends.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Message, &mut TcpStream, SocketAddr) -> bool + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(peer) = stream.peer_addr() else { return };
                let Ok(copy) = stream.try_clone() else { return };
                let mut reader = BufReader::new(copy);
                while let Some(message) = read_message(&mut reader) {
                    if !handler(&message, &mut stream, peer) {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends an answer with a JSON body; returns whether the connection may be used again.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// Encodes bytes as base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for position in 0..4 {
            if position <= chunk.len() {
                let index = bits >> (18 - 6 * position) & 63;
                text.push(ALPHABET[index as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// An event of the store's history.
#[derive(Clone)]
struct StoreEvent {
    revision: u64,
    key: String,
    /// `None` for a removal.
    value: Option<String>,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Revision up to which the history is gone.
    dropped: u64,
    items: BTreeMap<String, (u64, u64, String)>,
    events: Vec<StoreEvent>,
}

/// Stand-in for the platform's store.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let serving = Arc::clone(&store);
        serve(listener, move |message, stream, _| {
            serving.answer(message, stream)
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let value = base64(value.as_bytes());
        let created = state.items.get(key).map_or(revision, |item| item.1);
        state
            .items
            .insert(key.to_owned(), (revision, created, value.clone()));
        state.events.push(StoreEvent {
            revision,
            key: key.to_owned(),
            value: Some(value),
        });
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.items.remove(key);
        let event = StoreEvent {
            revision: state.revision,
            key: key.to_owned(),
            value: None,
        };
        state.events.push(event);
        self.changed.notify_all();
    }

    /// Drops the history, sooner than `historyRetentionS` says.
    pub fn compact(&self) {
        let mut state = self.state.lock().unwrap();
        state.dropped = state.revision;
        state.events.clear();
    }

    fn answer(&self, message: &Message, stream: &mut TcpStream) -> bool {
        let path = message.target().split('?').next().unwrap_or("").to_owned();
        let prefix = message.query("prefix").unwrap_or_default();
        let after = message.query("after").unwrap_or_default();
        thread::sleep(Duration::from_millis(4));
        match path.as_str() {
            "/kv-range" => {
                let state = self.state.lock().unwrap();
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, (revision, created, value))| item(key, *revision, *created, value))
                    .collect();
                let body = format!(
                    "{{\"items\":[{}],\"hasMore\":false,\"atRevision\":{}}}",
                    items.join(","),
                    state.revision
                );
                drop(state);
                answer(stream, "200 OK", "", &body)
            }
            "/kv-watch" => {
                let after: u64 = after.parse().unwrap_or(0);
                let wait = message.query("waitMs").and_then(|wait| wait.parse().ok());
                let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
                let mut state = self.state.lock().unwrap();
                if after < state.dropped {
                    drop(state);
                    return answer(stream, "410 Gone", "", "{}");
                }
                while state.revision <= after && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                let events: Vec<String> = state
                    .events
                    .iter()
                    .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                    .map(|event| match &event.value {
                        Some(value) => item(&event.key, event.revision, event.revision, value),
                        None => format!(
                            "{{\"key\":\"{}\",\"revision\":{},\"removed\":true}}",
                            event.key, event.revision
                        ),
                    })
                    .collect();
                let body = format!(
                    "{{\"events\":[{}],\"atRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
                drop(state);
                answer(stream, "200 OK", "", &body)
            }
            _ => answer(stream, "404 Not Found", "", "{}"),
        }
    }
}

fn item(key: &str, revision: u64, created: u64, value: &str) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"createdRevision\":{created},\"leaseId\":0}}"
    )
}

/// Addresses and ports of a deployment on loopback addresses that no other run uses.
pub struct Places {
    net: [u8; 2],
    /// First port for messages between the router's processes.
    internal_port: u16,
    front_port: u16,
    ready_port: u16,
    control_port: u16,
}

impl Places {
    /// Finds ports that are free on the addresses of `count` machines.
    pub fn find(count: u8) -> Self {
        let pid = std::process::id();
        for attempt in 0..200u32 {
            let seed = pid.wrapping_mul(31).wrapping_add(attempt * 7919);
            let net = [64 + (seed % 128) as u8, (seed / 128 % 250) as u8 + 1];
            let base = 20_000 + (seed % 900) as u16 * 10;
            let places = Self {
                net,
                internal_port: base,
                front_port: base + 4,
                ready_port: base + 5,
                control_port: base + 6,
            };
            let is_free = (1..=count).all(|machine| {
                let ip = places.ip(machine);
                let tcp = [base, base + 1, base + 4, base + 5, base + 6, 9_400];
                tcp.iter()
                    .all(|port| TcpListener::bind((ip, *port)).is_ok())
                    && UdpSocket::bind((ip, base)).is_ok()
            });
            if is_free {
                return places;
            }
        }
        panic!("no free ports");
    }

    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], machine)
    }

    pub fn front(&self, machine: u8) -> SocketAddr {
        (self.ip(machine), self.front_port).into()
    }

    pub fn ready(&self, machine: u8) -> SocketAddr {
        (self.ip(machine), self.ready_port).into()
    }

    /// Returns the settings file of a machine, as the platform writes it.
    pub fn settings(&self, machine: u8, seeds: &[u8], store: SocketAddr) -> String {
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{}:{}\"", self.ip(*seed), self.control_port))
            .collect();
        let ip = self.ip(machine);
        format!(
            "nodeName = \"front-bole-{machine}\"\nrole = \"entry\"\nmachineClass = \"front\"\n\
             serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"bole\"\nregion = \"addis\"\n\
             internalPorts = [{},{}]\nseeds = [{}]\nbootstrap = false\ntoleranceMember = false\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\"stream\",\"engine\",\"platform\"]\n\
             [zones]\nbole = \"addis\"\n\
             [listen]\nfront = \"{ip}:{}\"\nready = \"{ip}:{}\"\ncontrol = \"{ip}:{}\"\n\
             [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nfileDescriptors = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n\
             [faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 3000\nackMs = 4000\ncatchUpS = 4\n\
             drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\ndowngradeSlackMs = 250\n\
             maxSkewMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 56\nrecoveryS = 12\n\
             transitMs = 120\nreuseWindowS = 5\nrequireFence = true\nleaseMs = 3000\nthawMs = 300\n\
             [platform]\naddress = \"{store}\"\nform = \"read\"\nwritesPerS = 400\nreadsPerS = 2000\n\
             historyRetentionS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
            self.internal_port,
            self.internal_port + 15,
            seeds.join(","),
            self.front_port,
            self.ready_port,
            self.control_port,
        )
    }
}

/// A process of the router, ended when it is dropped.
pub struct Node {
    pub machine: u8,
    child: Child,
}

impl Node {
    /// Starts the program of the deploy file with a settings file.
    pub fn start(machine: u8, settings: &str, folder: &Path) -> Self {
        let path = folder.join(format!("settings-{machine}.toml"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = folder.join(format!("log-{machine}.txt"));
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .unwrap();
        let child = Command::new("target/release/plantainreach")
            .arg("node")
            .env_clear()
            .env("PLANTAINREACH_CONFIG", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .expect("the router is built");
        Self { machine, child }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("sh")
            .args(["-c", &format!("kill -{name} {id}")])
            .status();
    }

    /// Kills the process, as a loss of power does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a machine says that it is ready.
pub fn wait_ready(places: &Places, machine: u8, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        let request = "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        if ask(places.ready(machine), request).is_some_and(|answer| answer.status() == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// A temporary folder, removed when it is dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> Self {
        let name = format!("review-{}-{}", std::process::id(), unix_millis());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("the temporary folder can be made");
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// What a client has received of a stream.
#[derive(Debug, Default)]
pub struct StreamResult {
    pub status: u16,
    pub stamp: Option<String>,
    /// Seconds after which the client is told to come back.
    pub retry_after: Option<f64>,
    /// Numbers of the events.
    pub events: Vec<u64>,
    /// Software versions that the events name.
    pub versions: Vec<String>,
    /// Whether the answer came to its end.
    pub complete: bool,
    /// Longest pause before an event or the end.
    pub longest_pause: Duration,
    pub body: String,
}

/// Sends a request and reads an answer in chunks or with a length; `on_event` is called with the number
/// of each event.
pub fn read_stream(
    stream: &TcpStream,
    request: &str,
    mut on_event: impl FnMut(u64),
) -> io::Result<StreamResult> {
    let mut writer = stream.try_clone()?;
    writer.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut result = StreamResult::default();
    let Some(head) = read_head(&mut reader) else {
        return Ok(result);
    };
    result.status = head.status();
    result.stamp = head.header("x-response-stamp").map(str::to_owned);
    result.retry_after = head
        .header("retry-after")
        .and_then(|seconds| seconds.parse().ok());
    if let Some(length) = head.header("content-length") {
        let mut body = vec![0; length.parse().unwrap_or(0)];
        if reader.read_exact(&mut body).is_ok() {
            result.complete = true;
        }
        result.body = String::from_utf8_lossy(&body).into_owned();
        return Ok(result);
    }
    let mut pending = String::new();
    let mut last = Instant::now();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return Ok(result);
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return Ok(result);
        };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return Ok(result);
        }
        result.longest_pause = result.longest_pause.max(last.elapsed());
        last = Instant::now();
        if size == 0 {
            result.complete = true;
            return Ok(result);
        }
        pending.push_str(&String::from_utf8_lossy(&chunk[..size]));
        while let Some(end) = pending.find("\n\n") {
            let event: String = pending.drain(..end + 2).collect();
            let version = event.lines().find_map(|line| line.split_once(" of "));
            if let Some((_, version)) = version {
                result.versions.push(version.trim().to_owned());
            }
            let number = event.lines().find_map(|line| line.strip_prefix("id: "));
            if let Some(number) = number.and_then(|number| number.trim().parse().ok()) {
                result.events.push(number);
                on_event(number);
            }
        }
    }
}
