//! Callers of the soak test and the check of their answers.

use std::{net, sync, time};

use crate::common::{caller, fake_engine, fake_worker};

/// Segment of prompts on which the decode engines crash.
pub const POISON_SEGMENT: &str = "dead";

/// One of this many generations of a caller has the segment.
const POISON_PERIOD: usize = 12;

/// Prefix of the ids of generations with the segment.
pub const POISON_PREFIX: &str = "poison-";

/// Path of calls that end each server which begins to run them.
pub const FATAL_PATH: &str = "/price/deadly";

/// Prefix of the ids of these calls, followed by the index of the process that received them.
pub const FATAL_PREFIX: &str = "fatal-";

/// Pause between these calls.
const FATAL_PAUSE: time::Duration = time::Duration::from_millis(150);

/// A request of a caller with the answer that the caller received.
pub struct CallerRecord {
    pub id: String,
    pub path: &'static str,
    /// Index of the process that received the request.
    pub process: usize,
    pub sent_at: time::Instant,
    /// `None` if the connection failed or no answer arrived in time.
    pub answer: Option<caller::CallerAnswer>,
}

/// Returns the violation that an answer shows, if any.
pub fn answer_violation(
    record: &CallerRecord,
    answer: &caller::CallerAnswer,
    run_count: usize,
) -> Option<String> {
    let text = answer.message.text();
    let id = &record.id;
    match answer.status {
        503 if run_count > 0 => Some(format!("{id} was answered with 503 although it ran")),
        200 if record.path.starts_with("/draft") || record.path.starts_with("/once") => {
            let expected: String = (1..=fake_worker::EVENTS)
                .map(|number| format!("id: {number}\ndata: e{number}\n\n"))
                .collect();
            let text = without_versions(&text);
            let matches = if answer.complete {
                text == expected
            } else {
                expected.starts_with(&text)
            };
            (!matches).then(|| format!("{id} received a wrong stream: {text:?}"))
        }
        200 if answer.complete && !text.ends_with(&format!("to {id}")) => Some(format!(
            "{id} received the answer to another request: {text:?}"
        )),
        _ => None,
    }
}

/// Returns the text of a stream without the versions that its events name.
fn without_versions(text: &str) -> String {
    let lines = text.split_inclusive('\n').map(|line| {
        let end = line.find(fake_engine::VERSION_MARK);
        end.map_or_else(|| line.to_owned(), |end| format!("{}\n", &line[..end]))
    });
    lines.collect()
}

/// Sends requests one after the other until `stop` is set, each on a new connection.
pub async fn send_requests(
    number: usize,
    path: &'static str,
    (process, address): (usize, net::SocketAddr),
    stop: sync::Arc<sync::atomic::AtomicBool>,
    records: sync::Arc<sync::Mutex<Vec<CallerRecord>>>,
) {
    for round in 0.. {
        if stop.load(sync::atomic::Ordering::Relaxed) {
            return;
        }
        let is_generation = path.starts_with("/draft") || path.starts_with("/once");
        let is_poisoned = is_generation && round % POISON_PERIOD == number % POISON_PERIOD;
        let prefix = if is_poisoned { POISON_PREFIX } else { "" };
        let id = format!("{prefix}c{number}-{round}");
        let request = if is_generation {
            let segment = if is_poisoned { POISON_SEGMENT } else { "beef" };
            let segments = format!("aa:100,{segment}:50,{number:x}:50");
            caller::draft(&id, 200)
                .replace("/draft/x", path)
                .replace("aa:200", &segments)
        } else {
            caller::request("POST", path, &id, "X-Deadline-Ms: 1200\r\n", "body")
        };
        let sent_at = time::Instant::now();
        let answer = caller::try_send(address, &request).await;
        let pause = if answer.is_none() { 100 } else { 20 };
        records
            .lock()
            .expect("no caller panicked")
            .push(CallerRecord {
                id,
                path,
                process,
                sent_at,
                answer,
            });
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
}

/// Returns the part of an id that tells who received the request: the number of the caller, or the
/// index of the process for fatal calls.
pub fn receiver_of(id: &str) -> &str {
    id.rsplit_once('-').map_or(id, |(receiver, _)| receiver)
}

/// Returns the index of the process that received a request, from its id.
pub fn process_of(id: &str, processes: usize) -> Option<usize> {
    let receiver = receiver_of(id);
    if let Some(process) = receiver.strip_prefix(FATAL_PREFIX) {
        return process.parse().ok();
    }
    let number: usize = receiver.rsplit('c').next()?.parse().ok()?;
    Some(number % processes)
}

/// Sends the same fatal call again and again, at one process after the other, from `delay` on until
/// `stop` is set.
pub async fn send_fatal_calls(
    addresses: Vec<net::SocketAddr>,
    delay: time::Duration,
    stop: sync::Arc<sync::atomic::AtomicBool>,
) {
    tokio::time::sleep(delay).await;
    for round in 0.. {
        if stop.load(sync::atomic::Ordering::Relaxed) {
            return;
        }
        let process = round % addresses.len();
        let id = format!("{FATAL_PREFIX}{process}-{round}");
        let request = caller::request("GET", FATAL_PATH, &id, "X-Deadline-Ms: 1200\r\n", "");
        let _answer = caller::try_send(addresses[process], &request).await;
        tokio::time::sleep(FATAL_PAUSE).await;
    }
}
