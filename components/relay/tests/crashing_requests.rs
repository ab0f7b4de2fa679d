//! Quarantine of requests that crash each server which begins to run them, and come again.

mod common;

use common::at;

/// Request that crashes servers.
const FATAL: u64 = 7;

/// Sound request.
const SOUND: u64 = 8;

/// Milliseconds of the first quarantine of a request, and of a later one.
const FIRST_MILLIS: u64 = 80_000;
const LATER_MILLIS: u64 = 600_000;

/// Milliseconds before the end of a quarantine from which instances release it.
const RELEASE_MILLIS: u64 = 20_000;

const fn source(request: u64, server: u64) -> relay::CrashSource {
    relay::CrashSource { request, server }
}

/// Records that servers ended under a whole request, 100 ms apart from `millis` on.
fn crash(quarantine: &mut relay::CrashQuarantine, millis: u64, request: u64, servers: &[u64]) {
    for (index, server) in (0..).zip(servers) {
        let now = at(millis + index * 100);
        quarantine.record_crash(now, source(request, *server), &[request]);
    }
}

fn is_quarantined(quarantine: &relay::CrashQuarantine, millis: u64, suspect: u64) -> bool {
    quarantine.remaining(at(millis), &[suspect]).is_some()
}

/// Sends the state of an instance to another one.
fn exchange(from: &relay::CrashQuarantine, to: &mut relay::CrashQuarantine, millis: u64) {
    let notice = from.notice(at(millis));
    to.apply_notice(at(millis + 10), &notice);
}

#[test]
fn three_crashes_under_one_request_bind_one_instance_alone() {
    let mut instances = [1, 2, 3].map(relay::CrashQuarantine::new);
    for (index, server) in [(0, 11), (1, 12), (2, 13)] {
        crash(&mut instances[index], index as u64 * 300, FATAL, &[server]);
    }

    for sender in 0..3 {
        for receiver in 0..3 {
            let sent = instances[sender].clone();
            exchange(&sent, &mut instances[receiver], 700);
        }
    }

    let mut newcomer = relay::CrashQuarantine::new(4);
    exchange(&instances[0], &mut newcomer, 800);
    for instance in instances.iter().chain([&newcomer]) {
        assert!(is_quarantined(instance, 900, FATAL));
        assert!(!is_quarantined(instance, 900, SOUND));
    }
}

#[test]
fn copies_of_a_request_on_one_server_count_as_several_crashes() {
    let mut quarantine = relay::CrashQuarantine::default();

    crash(&mut quarantine, 0, FATAL, &[11, 11, 12, 11, 12]);

    assert!(!is_quarantined(&quarantine, 600, FATAL));
}

#[test]
fn answered_request_is_quarantined_by_earlier_crashes() {
    let mut quarantine = relay::CrashQuarantine::default();
    crash(&mut quarantine, 0, SOUND, &[11, 12]);
    quarantine.record_answer(at(300), &[SOUND]);

    crash(&mut quarantine, 400, SOUND, &[13, 14]);

    assert!(!is_quarantined(&quarantine, 700, SOUND));
}

#[test]
fn request_that_ran_beside_the_cause_is_quarantined_by_explained_crashes() {
    let mut quarantine = relay::CrashQuarantine::default();
    crash(&mut quarantine, 0, SOUND, &[11, 12]);
    crash(&mut quarantine, 0, FATAL, &[11, 12, 13]);

    crash(&mut quarantine, 3_000, SOUND, &[14]);

    assert!(is_quarantined(&quarantine, 3_100, FATAL));
    assert!(!is_quarantined(&quarantine, 3_100, SOUND));
}

#[test]
fn cause_escapes_when_a_request_that_ran_beside_it_is_quarantined_first() {
    let mut quarantine = relay::CrashQuarantine::default();
    for (index, server) in [(0, 11), (1, 12), (2, 13)] {
        crash(&mut quarantine, index * 300, SOUND, &[server]);
        crash(&mut quarantine, index * 300 + 5, FATAL, &[server]);
    }

    assert!(is_quarantined(&quarantine, 700, FATAL));
}

#[test]
fn repeated_request_quarantines_the_segments_that_others_share() {
    const SHARED: u64 = 3;
    let mut quarantine = relay::CrashQuarantine::default();
    for index in 0..8 {
        let now = at(index * 400);
        quarantine.record_crash(now, source(FATAL, 20 + index), &[SHARED, FATAL]);
        quarantine.record_answer(at(index * 400 + 50), &[SOUND]);
    }

    assert!(is_quarantined(&quarantine, 3_300, FATAL));
    assert!(!is_quarantined(&quarantine, 3_300, SHARED));
}

#[test]
fn all_instances_release_a_request_at_once() {
    let mut instances: Vec<_> = (0..20).map(relay::CrashQuarantine::new).collect();
    crash(&mut instances[0], 0, FATAL, &[11, 12, 13]);
    let first = instances[0].clone();
    for instance in &mut instances[1..] {
        exchange(&first, instance, 250);
    }

    let ends: Vec<u64> = instances
        .iter()
        .map(|instance| {
            let remaining = instance.remaining(at(300), &[FATAL]);
            u64::try_from(remaining.expect("it is quarantined").as_millis()).expect("it is short")
        })
        .collect();

    let (earliest, latest) = (ends.iter().min(), ends.iter().max());
    let spread = latest
        .zip(earliest)
        .map(|(latest, earliest)| latest - earliest);
    assert!(spread >= Some(RELEASE_MILLIS / 2), "{ends:?}");
    let bounds = FIRST_MILLIS - RELEASE_MILLIS - 300..=FIRST_MILLIS + 300;
    assert!(ends.iter().all(|end| bounds.contains(end)), "{ends:?}");
}

#[test]
fn released_request_crashes_three_more_servers() {
    let mut first = relay::CrashQuarantine::new(1);
    let mut second = relay::CrashQuarantine::new(2);
    crash(&mut first, 0, FATAL, &[11, 12, 13]);
    exchange(&first, &mut second, 300);
    let released = FIRST_MILLIS - 100;

    crash(&mut first, released, FATAL, &[14]);
    exchange(&first, &mut second, released + 10);

    let later = released + LATER_MILLIS - RELEASE_MILLIS - 100;
    for instance in [&first, &second] {
        assert!(is_quarantined(instance, released + 30, FATAL));
        assert!(is_quarantined(instance, later, FATAL));
    }
}

#[test]
fn many_broken_requests_displace_the_cause() {
    let mut quarantine = relay::CrashQuarantine::default();
    crash(&mut quarantine, 0, FATAL, &[11, 12]);
    for request in 1_000..4_000 {
        crash(&mut quarantine, 300, request, &[12]);
    }

    crash(&mut quarantine, 1_000, FATAL, &[13]);

    assert!(is_quarantined(&quarantine, 1_100, FATAL));
    let reported = quarantine.notice(at(1_100)).reports;
    assert!(reported.iter().any(|report| report.suspect == FATAL));
}

#[test]
fn quarantined_call_is_not_refused_by_the_core() {
    let mut core = common::core_with(&[common::server("s1", "a"), common::server("s2", "a")]);
    let notice = relay::CrashNotice {
        reports: vec![
            relay::CrashReport {
                suspect: FATAL,
                source: source(FATAL, 90),
            },
            relay::CrashReport {
                suspect: FATAL,
                source: source(FATAL, 91),
            },
        ],
        ..relay::CrashNotice::default()
    };
    let update = relay::InstanceUpdate {
        crashes: notice,
        ..common::instance_update(2, 1)
    };

    core.apply_update(at(20), update);
    let before = core.quarantine_refusal(at(30), &[FATAL]);
    core.record_crash(at(40), source(FATAL, 92), &[FATAL]);
    let refusal = core.quarantine_refusal(at(50), &[FATAL]);

    assert_eq!(before, None);
    let refusal = refusal.expect("three servers have crashed");
    assert_eq!(refusal.reason, relay::RefusalReason::Quarantine);
    assert_eq!(core.quarantine_refusal(at(50), &[SOUND]), None);
}

fn parts(target: &str, caller: u8, body: &str) -> relay::RequestIdentity {
    let parts = relay::RequestParts::builder()
        .method("GET")
        .host("site.example")
        .target(target)
        .caller(std::net::Ipv4Addr::new(10, 0, 0, caller).into())
        .body(body.as_bytes())
        .build();
    relay::RequestIdentity::new(&parts)
}

#[test]
fn repeated_request_is_not_recognized() {
    let first = parts("/a/x?page=1", 1, "body");

    assert_eq!(parts("/a/x?page=1", 1, "body"), first);
    assert_eq!(parts("/a/x?page=1", 2, "body").content, first.content);
    assert_eq!(parts("/a/x?page=2", 1, "body").by_caller, first.by_caller);
    assert_eq!(parts("/a/x", 2, "body").by_path, first.by_path);
}

#[test]
fn other_request_is_taken_for_a_repetition() {
    let first = parts("/a/x?page=1", 1, "body");

    for other in [
        parts("/a/y?page=1", 1, "body"),
        parts("/a/x?page=1", 1, "bodyless"),
    ] {
        let shared = other
            .suspects()
            .iter()
            .any(|hash| first.suspects().contains(hash));
        assert!(!shared);
    }
    let other = parts("/a/x?page=2", 2, "body");
    assert_ne!(other.content, first.content);
    assert_ne!(other.by_caller, first.by_caller);
}

#[test]
fn whole_request_hides_a_segment_that_crashes_engines() {
    const SEGMENT: u64 = 3;
    let mut quarantine = relay::CrashQuarantine::default();
    crash(&mut quarantine, 0, FATAL, &[11, 12, 13]);
    for (request, server) in [(FATAL, 11), (21, 14), (22, 15)] {
        let now = at(3_000 + server * 300);
        quarantine.record_crash(now, source(request, server), &[SEGMENT]);
        quarantine.record_answer(now + common::ms(50), &[SOUND]);
    }

    assert!(is_quarantined(&quarantine, 8_000, SEGMENT));
}
