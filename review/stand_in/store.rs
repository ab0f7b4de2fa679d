//! Stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Largest number of items in a page, and of the bytes of their values in base64.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1024 * 1024 * 4 / 3;

#[derive(Default)]
struct State {
    revision: u64,
    /// Value, last change and creation of each item.
    items: BTreeMap<String, (String, u64, u64)>,
    /// Every change: its revision, the key and the value, `None` for a removal.
    history: Vec<(u64, String, Option<(String, u64)>)>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("the store's address is free");
        let store = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let text = base64(value.as_bytes());
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.2);
        let item = (text.clone(), revision, created);
        state.items.insert(key.to_owned(), item);
        let change = (revision, key.to_owned(), Some((text, created)));
        state.history.push(change);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.history.push((revision, key.to_owned(), None));
            self.state.1.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read_request(&mut reader)? {
            thread::sleep(Duration::from_millis(2));
            let (status, body) = match request.path() {
                "/kv-range" => (200, self.range(&request)),
                "/kv-watch" => (200, self.watch(&request)),
                "/kv-key" => self.key(&request),
                _ => (404, "{}".to_owned()),
            };
            let json = [("Content-Type", "application/json")];
            http::respond(&mut stream, status, &json, body.as_bytes())?;
        }
        Ok(())
    }

    fn key(&self, request: &http::Message) -> (u16, String) {
        let key = decode(request.query("key").unwrap_or(""));
        let state = self.state.0.lock().unwrap();
        match state.items.get(&key) {
            Some((value, revision, created)) => (
                200,
                format!(
                    "{{{},\"atRevision\":{}}}",
                    item(&key, value, *revision, *created),
                    state.revision
                ),
            ),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &http::Message) -> String {
        let prefix = decode(request.query("prefix").unwrap_or(""));
        let after = decode(request.query("after").unwrap_or(""));
        let state = self.state.0.lock().unwrap();
        let found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let mut page = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, (value, revision, created)) in found {
            bytes += value.len();
            if page.len() == PAGE_ITEMS || (bytes > PAGE_BYTES && !page.is_empty()) {
                has_more = true;
                break;
            }
            page.push(format!("{{{}}}", item(key, value, *revision, *created)));
        }
        format!(
            "{{\"items\":[{}],\"hasMore\":{has_more},\"atRevision\":{}}}",
            page.join(","),
            state.revision
        )
    }

    fn watch(&self, request: &http::Message) -> String {
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let prefix = decode(request.query("prefix").unwrap_or(""));
        let after: u64 = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, value)| match value {
                    Some((value, created)) => {
                        format!("{{{}}}", item(key, value, *revision, *created))
                    }
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"atRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, value: &str, revision: u64, created: u64) -> String {
    format!(
        "\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"createdRevision\":{created},\"leaseId\":0"
    )
}

/// Decodes `%XX` and `+` of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let code = (bytes[index] == b'%')
            .then(|| text.get(index + 1..index + 3))
            .flatten()
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        match code {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(if bytes[index] == b'+' { b' ' } else { bytes[index] });
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            let index = (number >> (18 - 6 * digit)) as usize & 63;
            let is_padding = digit > chunk.len();
            text.push(if is_padding { '=' } else { char::from(DIGITS[index]) });
        }
    }
    text
}
