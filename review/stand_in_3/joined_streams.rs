//! A stream of the old software version goes on at the new one.

use std::{net::SocketAddr, thread, time::Duration};

use crate::{Verdict, site, stream_client};

/// Number of joined streams that the rule allows.
const ALLOWED: u64 = 2;

/// Number of clients.
const CLIENTS: u64 = 6;

/// Timeout of the streams after the change of the configuration, in milliseconds.
const NEW_TIMEOUT_MS: u64 = 3_000;

pub fn run(site: &site::Site, is_troubled: bool) -> Verdict {
    let record = &site.record;
    let engines = |version: &str| -> Vec<site::Worker> {
        (0..5)
            .map(|number| {
                let stage = if number < 2 { "prefill" } else { "decode" };
                let id = format!("llm-{version}-{number}");
                site::Worker::start_version(record, &id, "llm", Some(stage), version)
            })
            .collect()
    };
    let old = engines("v1");
    for worker in &old {
        let mut state = worker.state.lock().unwrap();
        state.events = 110;
        state.event_gap = Duration::from_millis(100);
        drop(state);
        worker.keep_beating(&site.store);
    }
    site.configure(7);
    let mut machines: Vec<site::Machine> = (1..=4)
        .map(|number| site.machine(site::place(number), &[1, 2, 3].map(site::place)))
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
    let fronts: Vec<SocketAddr> = machines.iter().map(|machine| machine.front()).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, fronts) = (record.clone(), fronts.clone());
            let end = stream_client::End::PowerLoss;
            thread::spawn(move || stream_client::play(&record, number, &fronts, end, true))
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    // A release: the new workers start first, the old ones drain.
    let new = engines("v2");
    for worker in &new {
        let mut state = worker.state.lock().unwrap();
        state.events = 110;
        state.event_gap = Duration::from_millis(30);
        drop(state);
        worker.keep_beating(&site.store);
    }
    thread::sleep(Duration::from_millis(300));
    for worker in &old {
        worker.drain(&site.store);
    }
    thread::sleep(Duration::from_millis(400));
    site.configure_with(8, NEW_TIMEOUT_MS);
    thread::sleep(Duration::from_millis(2_000));
    if is_troubled {
        for machine in &mut machines {
            machine.kill();
        }
        for worker in &old {
            worker.leave(&site.store);
        }
        thread::sleep(Duration::from_millis(600));
        for machine in &mut machines {
            machine.start();
        }
    }
    let mut joined: u64 = 0;
    let mut whole = 0;
    for (number, client) in clients.into_iter().enumerate() {
        let received = client.join().expect("a client ends");
        let mut versions = received.versions.clone();
        versions.dedup();
        whole += u64::from(received.is_whole);
        if versions.len() > 1 {
            joined += 1;
            record.add(format!(
                "ORDER: the stream of client {number} has events of {versions:?}, {}",
                if received.is_whole {
                    "and ended as complete"
                } else {
                    "not complete"
                }
            ));
        }
    }
    record.add(format!(
        "{joined} of {CLIENTS} streams are joined; {whole} ended as complete"
    ));
    for machine in &mut machines {
        if let Some(status) = machine.has_ended() {
            record.add(format!("{} has ended: {status}", machine.name));
        }
    }
    if !is_troubled && whole < CLIENTS {
        return Verdict::NotRun("the streams weren't served".to_owned());
    }
    if joined > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
