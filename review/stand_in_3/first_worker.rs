//! Streams of a version whose first decode worker began them beside the version before.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{Verdict, site, stream_client};

/// Number of clients.
const CLIENTS: u64 = 60;

/// Pause between the begins of two streams.
const BEGIN_PAUSE: Duration = Duration::from_millis(80);

/// Number of streams from which the rule counts.
const MIN_STREAMS: usize = 12;

/// `stableWindowMs` of the settings.
const STABLE_TIME: Duration = Duration::from_millis(3_000);

/// Number of new streams that begin while the old ones are taken up.
const NEW_STREAMS: u64 = 6;

fn engine(site: &site::Site, version: &str, number: u32, stage: &str) -> site::Worker {
    let id = format!("llm-{version}-{number}");
    let worker = site::Worker::start_version(&site.record, &id, "llm", Some(stage), version);
    let mut state = worker.state.lock().unwrap();
    state.events = 110;
    state.event_gap = Duration::from_millis(100);
    drop(state);
    worker.keep_beating(&site.store);
    worker
}

pub fn run(site: &site::Site, is_troubled: bool) -> Verdict {
    let record = &site.record;
    let old = [
        engine(site, "v1", 0, "prefill"),
        engine(site, "v1", 1, "decode"),
        engine(site, "v1", 2, "decode"),
    ];
    site.configure(7);
    let seeds = [1, 2, 3].map(site::place);
    let mut machines: Vec<site::Machine> = seeds
        .iter()
        .map(|place| site.machine(*place, &seeds))
        .collect();
    for machine in &mut machines {
        machine.start();
    }
    if !site::wait_ready(
        &machines.iter().collect::<Vec<_>>(),
        Duration::from_secs(10),
    ) {
        return Verdict::NotRun("the machines aren't ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    // A release: the first workers of the new version start while the old ones serve.
    let mut _new = vec![
        engine(site, "v2", 0, "prefill"),
        engine(site, "v2", 1, "decode"),
    ];
    thread::sleep(Duration::from_millis(1_500));
    let fronts: Vec<SocketAddr> = machines.iter().map(|machine| machine.front()).collect();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (record, fronts) = (record.clone(), fronts.clone());
        let end = stream_client::End::PowerLoss;
        clients.push(thread::spawn(move || {
            stream_client::play(&record, number, &fronts, end, true)
        }));
        thread::sleep(BEGIN_PAUSE);
    }
    thread::sleep(Duration::from_millis(500));
    _new.push(engine(site, "v2", 2, "decode"));
    thread::sleep(Duration::from_millis(300));
    for worker in &old {
        worker.drain(&site.store);
    }
    thread::sleep(Duration::from_millis(2_400));
    let mut back_at = Instant::now();
    if is_troubled {
        for machine in &mut machines {
            machine.kill();
        }
        for worker in &old {
            worker.leave(&site.store);
        }
        thread::sleep(Duration::from_millis(400));
        for machine in &mut machines {
            machine.start();
        }
        back_at = Instant::now();
    }
    thread::sleep(Duration::from_millis(3_500));
    let mut begun = 0;
    for number in 0..NEW_STREAMS {
        let id = format!("e{number:015x}");
        let part = stream_client::part(1_000 + number);
        let text = stream_client::request(&id, &part, Duration::from_secs(14), None);
        let front = fronts[number as usize % fronts.len()];
        let answer = site::exchange_head(front, &text, Duration::from_secs(4));
        begun += u64::from(answer == Some(200));
    }
    let mut goes_on = Vec::new();
    let mut whole = 0;
    for client in clients {
        let received = client.join().expect("a client ends");
        whole += u64::from(received.is_whole);
        let is_new = received
            .versions
            .first()
            .is_some_and(|version| version == "v2");
        // Only take-ups at machines in touch count.
        let in_touch_from = back_at + STABLE_TIME;
        let counts = received.taken_up_at.is_some_and(|at| at >= in_touch_from);
        if is_new && counts {
            goes_on.push(received.goes_on);
        }
    }
    let count = goes_on.len();
    let went_on = goes_on.iter().filter(|goes_on| **goes_on).count();
    record.add(format!(
        "{went_on} of {count} streams of v2 that were taken up at machines in touch went on; \
         {begun} of {NEW_STREAMS} new ones began; {whole} of {CLIENTS} streams ended as complete"
    ));
    if !is_troubled {
        return if whole == CLIENTS {
            Verdict::Held
        } else {
            Verdict::NotRun("the streams weren't served".to_owned())
        };
    }
    if count < MIN_STREAMS || begun < NEW_STREAMS {
        return Verdict::NotRun("too few streams".to_owned());
    }
    if (went_on * 2) < count {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
