//! A client of streams, which takes up a stream that has broken off.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::site;

/// `X-Deadline-Ms` of the clients.
const DEADLINE: Duration = Duration::from_secs(14);

/// Time without an event after which a client abandons a stream.
const ABANDONS_AFTER: Duration = Duration::from_millis(3_600);

/// Number of times that a client tries again.
const RETRIES: usize = 3;

/// How a client learns that a machine has ended.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum End {
    /// Its process is killed: the connection closes.
    Kill,
    /// It loses power: nothing is heard.
    PowerLoss,
}

/// What a client has received of its stream.
pub struct Received {
    /// Versions of the events, in order.
    pub versions: Vec<String>,
    pub last: u64,
    /// Whether the stream has ended as complete.
    pub is_whole: bool,
    /// Time of the last take-up.
    pub taken_up_at: Option<Instant>,
    /// Whether a take-up brought an event.
    pub goes_on: bool,
}

/// Reads a part of an answer; returns whether the connection goes on.
fn read_some(stream: &mut TcpStream, text: &mut String) -> bool {
    let mut buffer = [0; 4096];
    match stream.read(&mut buffer) {
        Ok(0) => false,
        Ok(count) => {
            text.push_str(&String::from_utf8_lossy(&buffer[..count]));
            true
        }
        Err(error) => matches!(
            error.kind(),
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
        ),
    }
}

/// Returns the numbers and versions of the whole events of an answer.
fn events(text: &str) -> Vec<(u64, String)> {
    let blocks = text
        .split("id: ")
        .skip(1)
        .filter(|block| block.contains("\n\n"));
    blocks
        .filter_map(|block| {
            let (number, rest) = block.split_once('\n')?;
            let version = rest.strip_prefix("data: ")?.lines().next()?;
            Some((number.trim().parse().ok()?, version.to_owned()))
        })
        .collect()
}

/// Returns the last part of the prompts of a session.
pub fn part(session: u64) -> String {
    format!("5e55{session:04x}")
}

/// What a client has of the stream that it takes up.
#[derive(Clone, Debug)]
pub struct Begun {
    /// Number of the last event.
    pub last: u64,
    /// Id of the attempt that brought the first event, if the client names it.
    pub attempt: Option<String>,
}

/// Returns a request for a stream, or for the rest of one.
pub fn request(id: &str, part: &str, left: Duration, begun: Option<&Begun>) -> String {
    let mut resumes = String::new();
    if let Some(begun) = begun {
        resumes = format!("Last-Event-Id: {}\r\n", begun.last);
        if let Some(attempt) = &begun.attempt {
            resumes.push_str(&format!("Resumes: {attempt}\r\n"));
        }
    }
    format!(
        "POST /draft/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Usage: 3000,130\r\nX-Prompt-Prefix: 5c1e07a2:200,{part}:2800\r\n\
         X-Deadline-Ms: {}\r\n{resumes}Content-Length: 2\r\n\r\n{{}}",
        left.as_millis()
    )
}

/// Plays one client: one stream, taken up after a pause without events.
pub fn play(
    record: &site::Record,
    number: u64,
    fronts: &[SocketAddr],
    end: End,
    names_attempt: bool,
) -> Received {
    let begun = Instant::now();
    let mut received = Received {
        versions: Vec::new(),
        last: 0,
        is_whole: false,
        taken_up_at: None,
        goes_on: false,
    };
    let part = part(number);
    let names_attempt = std::env::var("RESUMES").map_or(names_attempt, |text| text != "0");
    let mut begun_by = None;
    for attempt in 0..=RETRIES {
        let left = DEADLINE.saturating_sub(begun.elapsed());
        let front = fronts[(number as usize + attempt) % fronts.len()];
        let id = format!("c{number:03x}a{attempt:011x}");
        record.add(format!(
            "client {number} sends {id}: last event {}, {} ms left",
            received.last,
            left.as_millis()
        ));
        let taken_up = (received.last > 0).then(|| Begun {
            last: received.last,
            attempt: begun_by.clone().filter(|_| names_attempt),
        });
        if taken_up.is_some() {
            received.taken_up_at = Some(Instant::now());
        }
        let text = request(&id, &part, left, taken_up.as_ref());
        let mut answer = String::new();
        let mut last_at = Instant::now();
        if let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) {
            let _ = stream.set_read_timeout(Some(Duration::from_millis(100)));
            let _ = stream.write_all(text.as_bytes());
            while begun.elapsed() < DEADLINE && last_at.elapsed() < ABANDONS_AFTER {
                let before = events(&answer).len();
                let is_open = read_some(&mut stream, &mut answer);
                if events(&answer).len() > before {
                    last_at = Instant::now();
                }
                let is_refused = answer.starts_with("HTTP/1.1 5") && answer.contains("\r\n\r\n");
                received.is_whole = answer.ends_with("0\r\n\r\n") && !is_refused;
                if received.is_whole || is_refused {
                    break;
                }
                if !is_open && end == End::Kill {
                    break;
                }
                if !is_open {
                    thread::sleep(Duration::from_millis(20));
                }
            }
        }
        let new = events(&answer);
        let start = answer.lines().next().unwrap_or("no answer").to_owned();
        record.add(format!(
            "client {number} got {start}, {} events of {:?}",
            new.len(),
            new.first().map(|event| event.1.clone())
        ));
        received.goes_on |= taken_up.is_some() && !new.is_empty();
        if !new.is_empty() {
            begun_by.get_or_insert(id);
        }
        for (number, version) in new {
            received.versions.push(version);
            received.last = number;
        }
        if received.is_whole || begun.elapsed() >= DEADLINE {
            break;
        }
        // Retry-After, at most a third of the time left.
        let wait = answer.lines().find_map(|line| {
            let value = line.to_ascii_lowercase();
            value.strip_prefix("retry-after:")?.trim().parse().ok()
        });
        let left = DEADLINE.saturating_sub(begun.elapsed());
        let wait = Duration::from_secs_f64(wait.unwrap_or(0.1));
        thread::sleep(wait.min(left / 3));
    }
    received
}
