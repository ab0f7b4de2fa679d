//! A session asks again right after all machines are back, before its first stream is taken up.

use std::{net::SocketAddr, thread, time::Duration};

use crate::{Verdict, site, stream_client};

/// Number of joined streams that the rule allows.
const ALLOWED: u64 = 2;

/// Number of sessions.
const SESSIONS: u64 = 12;

/// Pause between two tries while no machine answers.
const TRY_PAUSE: Duration = Duration::from_millis(100);

/// Asks for a second stream of a session until a machine accepts it.
fn ask_again(record: &site::Record, session: u64, fronts: &[SocketAddr]) {
    let part = stream_client::part(session);
    for attempt in 0..200_usize {
        let id = format!("d{session:03x}a{attempt:011x}");
        let text = stream_client::request(&id, &part, Duration::from_secs(14), None);
        let front = fronts[(session as usize + attempt) % fronts.len()];
        let answer = site::exchange(front, &text, Duration::from_secs(10));
        if let Some(answer) = answer {
            record.add(format!(
                "second request {id} of session {session} got {}",
                answer.start
            ));
            if answer.status() == 200 {
                return;
            }
        }
        thread::sleep(TRY_PAUSE);
    }
}

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
    let clients: Vec<_> = (0..SESSIONS)
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
        state.event_gap = Duration::from_millis(10);
        drop(state);
        worker.keep_beating(&site.store);
    }
    thread::sleep(Duration::from_millis(300));
    for worker in &old {
        worker.drain(&site.store);
    }
    thread::sleep(Duration::from_millis(2_400));
    if is_troubled {
        for machine in &mut machines {
            machine.kill();
        }
        for worker in &old {
            worker.leave(&site.store);
        }
        thread::sleep(Duration::from_millis(600));
    }
    let second: Vec<_> = (0..SESSIONS)
        .map(|session| {
            let (record, fronts) = (record.clone(), fronts.clone());
            thread::spawn(move || ask_again(&record, session, &fronts))
        })
        .collect();
    if is_troubled {
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
                "ORDER: the stream of session {number} has events of {versions:?}"
            ));
        }
    }
    for asking in second {
        asking.join().expect("a client ends");
    }
    record.add(format!(
        "{joined} of {SESSIONS} streams are joined; {whole} ended as complete"
    ));
    if !is_troubled && whole < SESSIONS {
        return Verdict::NotRun("the streams weren't served".to_owned());
    }
    if joined > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
