//! Quarantine of prompt segments that crash engines.

mod common;

use std::time;

use common::at;

/// Segment that crashes engines.
const POISON: u64 = 1;

/// First segment of all prompts.
const SHARED: u64 = 2;

/// Segment of a sound prompt.
const SOUND: u64 = 3;

/// Returns the crash of a server of its own under a request.
const fn source(request: u64) -> relay::CrashSource {
    relay::CrashSource {
        request: 1_000 + request,
        server: 2_000 + request,
    }
}

fn is_quarantined(quarantine: &relay::CrashQuarantine, millis: u64, segment: u64) -> bool {
    quarantine.remaining(at(millis), &[segment]).is_some()
}

/// Returns a quarantine that has seen crashes under different requests at these times, and answers
/// to sound prompts in between.
fn quarantine_after(crashes: &[u64]) -> relay::CrashQuarantine {
    let mut quarantine = relay::CrashQuarantine::default();
    for (request, millis) in (0..).zip(crashes) {
        quarantine.record_crash(at(*millis), source(request), &[SHARED, POISON]);
        quarantine.record_answer(at(*millis + 50), &[SHARED, SOUND]);
    }
    quarantine
}

#[test]
fn segment_that_crashes_engines_is_sent_on() {
    let quarantine = quarantine_after(&[0, 400, 800]);

    assert!(is_quarantined(&quarantine, 900, POISON));
    assert!(!is_quarantined(&quarantine, 900, SHARED));
    assert!(!is_quarantined(&quarantine, 900, SOUND));
}

#[test]
fn engines_that_fail_together_quarantine_the_prompts_that_waited_there() {
    let mut quarantine = relay::CrashQuarantine::default();
    for request in 0..20 {
        quarantine.record_crash(at(100 + request), source(request), &[SHARED, SOUND]);
    }
    quarantine.record_answer(at(150), &[SHARED, POISON]);

    assert!(!is_quarantined(&quarantine, 200, SOUND));
}

#[test]
fn retries_of_one_request_quarantine_its_segments() {
    let mut quarantine = relay::CrashQuarantine::default();
    for millis in [0, 400, 800, 1_200] {
        quarantine.record_crash(at(millis), source(7), &[SHARED, SOUND]);
        quarantine.record_answer(at(millis + 50), &[SHARED]);
    }

    assert!(!is_quarantined(&quarantine, 1_300, SOUND));
}

#[test]
fn pool_without_any_answer_quarantines_all_segments() {
    let mut quarantine = relay::CrashQuarantine::default();
    for (request, millis) in [(0, 0), (1, 400), (2, 800), (3, 1_200)] {
        quarantine.record_crash(at(millis), source(request), &[SHARED, SOUND]);
    }

    assert!(!is_quarantined(&quarantine, 1_300, SHARED));
}

#[test]
fn answered_segment_stays_quarantined() {
    let mut quarantine = quarantine_after(&[0, 400, 800]);

    quarantine.record_answer(at(1_000), &[SHARED, POISON]);

    assert!(!is_quarantined(&quarantine, 1_001, POISON));
    assert!(quarantine.notice(at(1_001)).cleared.contains(&POISON));
}

#[test]
fn crashes_at_different_instances_are_not_related() {
    let mut observer = relay::CrashQuarantine::default();
    for instance in 0..3_u64 {
        let mut other = relay::CrashQuarantine::default();
        other.record_crash(at(instance * 400), source(instance), &[SHARED, POISON]);
        observer.apply_notice(
            at(instance * 400 + 20),
            &other.notice(at(instance * 400 + 10)),
        );
        observer.record_answer(at(instance * 400 + 50), &[SHARED, SOUND]);
    }

    assert!(is_quarantined(&observer, 900, POISON));
    let mut newcomer = relay::CrashQuarantine::default();
    newcomer.apply_notice(at(910), &observer.notice(at(905)));
    assert!(is_quarantined(&newcomer, 920, POISON));
}

#[test]
fn clearance_by_another_instance_is_undone_by_late_reports() {
    let mut quarantine = quarantine_after(&[0, 400, 800]);
    let late = quarantine.notice(at(900));
    let clearance = relay::CrashNotice {
        cleared: vec![POISON],
        ..relay::CrashNotice::default()
    };

    quarantine.apply_notice(at(1_000), &clearance);
    let reports_only = relay::CrashNotice {
        quarantined: Vec::new(),
        ..late
    };
    quarantine.apply_notice(at(1_010), &reports_only);

    assert!(!is_quarantined(&quarantine, 1_020, POISON));
}

#[test]
fn first_crash_after_a_quarantine_starts_the_count_anew() {
    let mut quarantine = quarantine_after(&[0, 400, 800]);
    let end = time::Duration::from_secs(601).as_millis();
    let end = u64::try_from(end).expect("the time is short");
    quarantine.record_answer(at(end), &[SHARED, SOUND]);
    assert!(!is_quarantined(&quarantine, end, POISON));

    quarantine.record_crash(at(end + 10), source(99), &[SHARED, POISON]);
    quarantine.record_answer(at(end + 20), &[SHARED, SOUND]);

    assert!(is_quarantined(&quarantine, end + 30, POISON));
}

#[test]
fn waiting_prompt_with_a_quarantined_segment_is_placed() {
    let mut core = common::core_with(&common::four_engines());
    let notice = relay::CrashNotice {
        quarantined: vec![(POISON, time::Duration::from_secs(5))],
        ..relay::CrashNotice::default()
    };
    let update = relay::InstanceUpdate {
        crashes: notice,
        ..common::instance_update(2, 1)
    };

    core.apply_update(at(10), update);
    let mut request = common::request(at(20), 500);
    request.suspects = vec![SHARED, POISON];
    let outcome = core.place(at(20), request);

    let relay::PlacementOutcome::Refused(refusal) = outcome else {
        panic!("the prompt is placed");
    };
    assert_eq!(refusal.reason, relay::RefusalReason::Quarantine);
}
