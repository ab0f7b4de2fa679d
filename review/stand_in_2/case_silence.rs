//! A planned stop of a machine while a worker makes a pause within a stream, as after a preemption. The
//! other decode worker is full. The worker goes on, and would end the stream in time.

use std::{
    io,
    net::TcpStream,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{Deed, Fleet, Kind, Pace},
    site::{self, Node, Places, Record, Store, StreamResult, TempFolder},
};

const PACE: Pace = Pace {
    prefill: Duration::from_millis(100),
    event: Duration::from_millis(50),
    events: 40,
    switch: Duration::from_secs(6),
};

/// Event before which the worker makes its pause.
const PAUSED_EVENT: u64 = 20;

/// Length of the pause. Clients leave after four times the objective, which is 3.6 s here.
const PAUSE: Duration = Duration::from_millis(2_600);

/// Id of the request whose worker makes a pause.
const PAUSED_ID: &str = "b000000000000002";

/// `graceS` of the settings, in seconds.
const GRACE: f64 = 8.0;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"export-note","host":"straps.example","prefix":"/note/","routeType":"streaming","timeoutMs":14000,"targetLatencyMs":900,"targetGapMs":300,"priority":1,"service":"dossier-llm","maxAttempts":2,"resumable":true,"sticky":true}],"services":[{"name":"dossier-llm","engine":{"slots":64,"kvCapacityTokens":86095,"handleTtlS":0.5}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}"#;

/// Reads a stream from a machine.
fn read(
    places: &Places,
    machine: u8,
    id: &str,
    on_event: impl FnMut(u64),
) -> io::Result<StreamResult> {
    let stream = TcpStream::connect_timeout(&places.front(machine), Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(3_600)))?;
    let body = "x".repeat(400);
    let text = format!(
        "POST /note/1 HTTP/1.1\r\nHost: straps.example\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Usage: 5000,40\r\nX-Prompt-Prefix: {id}:5000\r\nX-Deadline-Ms: 14000\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    site::read_stream(&stream, &text, on_event)
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Result<Option<String>, String> {
    let places = Places::find(3);
    let folder = TempFolder::create();
    let store = Store::start(places.ip(3));
    let fleet = Fleet::create(|_, message| {
        if message.header("x-request-id") != Some(PAUSED_ID) {
            return Deed::Run;
        }
        // The run that begins the stream makes the pause; no other worker has memory left.
        if message.header("last-event-id").is_none() {
            Deed::PauseBefore(PAUSED_EVENT, PAUSE)
        } else {
            Deed::Full
        }
    });
    for (id, stage) in [("i-01", "prefill"), ("i-02", "decode"), ("i-03", "decode")] {
        let kind = Kind {
            ip: places.ip(3),
            id,
            stage,
            software: "v1",
        };
        fleet.start(kind, PACE, record, &store);
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
    thread::sleep(Duration::from_secs(1));
    let first = read(&places, 1, "b000000000000001", |_| ()).map_err(|error| error.to_string())?;
    record.write(&format!("first stream: {first:?}"));
    if !first.complete {
        return Err("the first stream isn't whole".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let mut stopped_at = None;
    let result = read(&places, 1, PAUSED_ID, |number| {
        record.write(&format!("the client gets event {number}"));
        if number == 1 {
            stopped_at = Some(Instant::now());
            if has_trouble {
                record.write("SIGTERM to machine 1");
                nodes[0].signal("TERM");
            }
        }
    })
    .map_err(|error| error.to_string())?;
    let ended_after = stopped_at.map_or(0.0, |at| at.elapsed().as_secs_f64());
    record.write(&format!(
        "second stream, {ended_after:.3} s after its first event: status {}, {} events, complete {}",
        result.status,
        result.events.len(),
        result.complete
    ));
    if result.events.is_empty() {
        return Err("the second stream has no event".to_owned());
    }
    // The rule speaks of planned work only.
    if result.complete || !has_trouble {
        return Ok(None);
    }
    if ended_after >= GRACE * 5.0 / 6.0 {
        return Err("the stream ended within the last sixth of graceS".to_owned());
    }
    Ok(Some(format!(
        "LOST: the connection ended {ended_after:.3} s after SIGTERM, after {} of {} events, while the worker was at work",
        result.events.len(),
        PACE.events
    )))
}
