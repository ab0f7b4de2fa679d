//! Which connections and bodies are kept when there isn't room for all.

use std::time;

use intake::{AdmitVerdict, ConnectionClass, ConnectionKey, ConnectionPhase, GrowVerdict};
use proptest::prelude::*;

/// Memory of the tables in bytes.
const MEMORY_BYTES: usize = 10_000_000;

/// Memory of a connection in bytes.
const CONNECTION_BYTES: usize = 24 * 1024;

/// Memory of a request while it is served, in bytes.
const SERVING_BYTES: usize = 64 * 1024;

fn empty_table(descriptors: usize) -> intake::ConnectionTable {
    let limits = intake::IntakeLimits::builder()
        .memory_bytes(MEMORY_BYTES)
        .descriptors(descriptors)
        .build();
    intake::ConnectionTable::new(limits)
}

fn at(millis: u64) -> clock::Timestamp {
    clock::Timestamp::from_millis(millis)
}

/// Admits a connection; returns it and the ones that end for it.
fn admit(
    table: &mut intake::ConnectionTable,
    millis: u64,
    class: ConnectionClass,
) -> (ConnectionKey, Vec<ConnectionKey>) {
    match table.admit(at(millis), class) {
        AdmitVerdict::Admitted { key, ends, .. } => (key, ends),
        AdmitVerdict::Refused => panic!("there is no place"),
    }
}

/// Admits a connection whose client begins a body and sends some bytes of it.
fn reading(
    table: &mut intake::ConnectionTable,
    millis: u64,
    bytes: usize,
) -> (ConnectionKey, GrowVerdict) {
    let (key, _) = admit(table, millis, ConnectionClass::Caller);
    table.set_phase(at(millis), key, ConnectionPhase::Reading);
    (key, table.grow(at(millis), key, bytes))
}

/// Frees the memory of a connection that ends, as its task does.
fn close(table: &mut intake::ConnectionTable, key: ConnectionKey, bytes: usize) {
    table.shrink(key, bytes);
    table.remove(key);
}

#[test]
fn a_lone_large_body_is_held() {
    let mut table = empty_table(4_100);

    let (_, verdict) = reading(&mut table, 0, 4 * 1024 * 1024);

    assert_eq!(verdict, GrowVerdict::Granted);
}

/// Grows a request, and closes the connections that end for it, as their tasks do.
fn grow_when_freed(
    table: &mut intake::ConnectionTable,
    millis: u64,
    (key, verdict): (ConnectionKey, GrowVerdict),
    bytes: usize,
    crowd: &mut Vec<(ConnectionKey, usize)>,
) -> bool {
    let GrowVerdict::Wait { ends } = verdict else {
        return verdict == GrowVerdict::Granted;
    };
    for (end, held) in crowd.extract_if(.., |(other, _)| ends.contains(other)) {
        close(table, end, held);
    }
    table.grow(at(millis), key, bytes) == GrowVerdict::Granted
}

// A crowd sends large bodies that stop short of their end, and small requests arrive all the while.
#[test]
fn small_requests_find_room_beside_a_crowd_of_unfinished_bodies() {
    let mut table = empty_table(4_100);
    let mut crowd = Vec::new();
    let mut served = 0;
    for step in 0..400 {
        let now = step * 50;
        let begun = reading(&mut table, now, 1_000_000);
        let key = begun.0;
        if grow_when_freed(&mut table, now, begun, 1_000_000, &mut crowd) {
            crowd.push((key, 1_000_000));
        } else {
            close(&mut table, key, 0);
        }
        let begun = reading(&mut table, now + 40, 5_000);
        let key = begun.0;
        if grow_when_freed(&mut table, now + 41, begun, 5_000, &mut crowd) {
            served += 1;
            close(&mut table, key, 5_000);
        } else {
            close(&mut table, key, 0);
        }
    }

    assert_eq!(served, 400);
    assert!(!crowd.is_empty());
}

#[test]
fn the_largest_and_oldest_unfinished_body_is_given_up_first() {
    let mut table = empty_table(4_100);
    let (_small, _) = reading(&mut table, 0, 60_000);
    let (large, _) = reading(&mut table, 100, 4_000_000);
    let (_young, _) = reading(&mut table, 900, 3_000_000);

    let (_, verdict) = reading(&mut table, 1_000, 1_000_000);

    assert_eq!(verdict, GrowVerdict::Wait { ends: vec![large] });
}

#[test]
fn a_body_that_has_cost_most_itself_is_refused() {
    let mut table = empty_table(4_100);
    let (old, _) = reading(&mut table, 0, 5_000_000);
    let (_young, _) = reading(&mut table, 990, 2_000_000);

    let verdict = table.grow(at(1_000), old, 1_000_000);

    assert_eq!(verdict, GrowVerdict::Refused);
}

#[test]
fn whole_requests_keep_their_room_and_leave_the_last_quarter_to_small_ones() {
    let mut table = empty_table(4_100);
    for _ in 0..2 {
        let (key, _) = reading(&mut table, 0, 3_600_000);
        table.set_phase(at(1), key, ConnectionPhase::Serving);
    }

    let (_, large) = reading(&mut table, 60_000, 1_000_000);
    let (_, small) = reading(&mut table, 60_000, 50_000);

    assert_eq!(large, GrowVerdict::Refused);
    assert_eq!(small, GrowVerdict::Granted);
}

#[test]
fn requests_of_other_instances_leave_half_of_the_room_to_callers() {
    let mut table = empty_table(4_100);
    let mut granted = 0;
    while let AdmitVerdict::Admitted { key, .. } = table.admit(at(0), ConnectionClass::Peer) {
        table.set_phase(at(0), key, ConnectionPhase::Serving);
        granted += usize::from(table.grow(at(0), key, 500_000) == GrowVerdict::Granted);
    }

    assert!(granted > 0);
    let (_, verdict) = reading(&mut table, 1, 2_000_000);
    assert_eq!(verdict, GrowVerdict::Granted);
}

#[test]
fn a_new_connection_takes_the_place_of_the_one_that_has_waited_longest() {
    let mut table = empty_table(100);
    let places = 37;
    let silent: Vec<_> = (0..places)
        .map(|number| admit(&mut table, number, ConnectionClass::Caller).0)
        .collect();
    table.set_phase(at(50), silent[0], ConnectionPhase::Serving);
    table.set_phase(at(50), silent[1], ConnectionPhase::Reading);

    let (_, ends) = admit(&mut table, 100, ConnectionClass::Caller);

    assert_eq!(ends, [silent[2]]);
}

#[test]
fn a_new_connection_is_refused_while_all_have_requests_under_way() {
    let mut table = empty_table(100);
    for number in 0..37 {
        let (key, _) = admit(&mut table, number, ConnectionClass::Caller);
        table.set_phase(at(50), key, ConnectionPhase::Serving);
    }

    let verdict = table.admit(at(100), ConnectionClass::Caller);

    assert_eq!(verdict, AdmitVerdict::Refused);
    assert!(matches!(
        table.admit(at(100), ConnectionClass::Readiness),
        AdmitVerdict::Admitted { .. }
    ));
}

#[test]
fn readiness_is_answered_while_requests_under_way_fill_the_memory() {
    let mut table = empty_table(4_100);
    while let (key, GrowVerdict::Granted) = reading(&mut table, 0, 60_000) {
        if table.serve(at(1), key) != GrowVerdict::Granted {
            break;
        }
    }
    while let AdmitVerdict::Admitted { key, .. } = table.admit(at(2), ConnectionClass::Caller) {
        table.set_phase(at(2), key, ConnectionPhase::Serving);
    }

    let verdict = table.admit(at(3), ConnectionClass::Readiness);

    assert!(matches!(verdict, AdmitVerdict::Admitted { .. }));
}

#[test]
fn heads_and_unread_answers_expire() {
    let mut table = empty_table(4_100);
    let (trickling, _) = admit(&mut table, 0, ConnectionClass::Caller);
    table.record_input(at(10), trickling);
    table.record_input(at(2_000), trickling);
    let (unread, _) = admit(&mut table, 0, ConnectionClass::Caller);
    table.set_phase(at(0), unread, ConnectionPhase::Answering);
    table.record_output(at(100), unread, true);
    let (idle, _) = admit(&mut table, 0, ConnectionClass::Caller);
    let timeouts = intake::IntakeTimeouts {
        head: time::Duration::from_secs(3),
        unread: time::Duration::from_secs(15),
    };

    let early = table.expire(at(3_000), &timeouts);
    let heads = table.expire(at(3_020), &timeouts);
    table.remove(trickling);
    let answers = table.expire(at(15_200), &timeouts);

    assert_eq!(early, []);
    assert_eq!(heads, [(trickling, intake::EndReason::HeadTimeout)]);
    assert_eq!(answers, [(unread, intake::EndReason::UnreadAnswer)]);
    assert_eq!(table.len(), 2);
    let _ = idle;
}

#[test]
fn requests_are_served_as_long_as_there_is_memory_for_that() {
    let mut table = empty_table(4_100);
    let mut served = 0;
    for _ in 0..200 {
        let (key, _) = reading(&mut table, 0, 1_000);
        if table.serve(at(1), key) == GrowVerdict::Granted {
            served += 1;
        } else {
            close(&mut table, key, 1_000);
        }
    }

    assert!(table.held_bytes() <= MEMORY_BYTES);
    assert!((80..=115).contains(&served), "{served}");
}

#[test]
fn unread_answers_make_room_for_requests() {
    let mut table = empty_table(4_100);
    let mut answering = |bytes, is_blocked| {
        let (key, _) = admit(&mut table, 0, ConnectionClass::Caller);
        table.begin_answer(at(0), key, bytes);
        table.record_output(at(1), key, is_blocked);
        key
    };
    let _read = answering(5_000_000, false);
    let unread = answering(4_000_000, true);

    let (_, verdict) = reading(&mut table, 1_000, 1_000_000);

    assert_eq!(verdict, GrowVerdict::Wait { ends: vec![unread] });
}

#[test]
fn the_largest_unread_answer_is_given_up_for_another_answer() {
    let mut table = empty_table(4_100);
    let mut answering = |bytes, is_blocked| {
        let (key, _) = admit(&mut table, 0, ConnectionClass::Caller);
        table.begin_answer(at(0), key, bytes);
        table.record_output(at(1), key, is_blocked);
        table.set_phase(at(2), key, ConnectionPhase::Waiting);
        key
    };
    let _read = answering(3_000_000, false);
    let _small = answering(1_000, true);
    let large = answering(2_000_000, true);

    let first = table.end_unread_answer(at(1_000));

    assert_eq!(first, Some(large));
}

/// A step of a random history.
#[derive(Clone, Debug)]
enum Step {
    Admit(bool),
    Grow(usize, usize),
    SetPhase(usize, u8),
    Serve(usize),
    Answer(usize, usize),
    Finish(usize),
    Close(usize),
    Wait(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<bool>().prop_map(Step::Admit),
        (0..64_usize, 1..3_000_000_usize).prop_map(|(at, bytes)| Step::Grow(at, bytes)),
        (0..64_usize, 0..4_u8).prop_map(|(at, phase)| Step::SetPhase(at, phase)),
        (0..64_usize).prop_map(Step::Serve),
        (0..64_usize, 0..500_000_usize).prop_map(|(at, bytes)| Step::Answer(at, bytes)),
        (0..64_usize).prop_map(Step::Finish),
        (0..64_usize).prop_map(Step::Close),
        (1..5_000_u64).prop_map(Step::Wait),
    ]
}

/// What a connection of a random history holds.
struct HeldEntry {
    key: ConnectionKey,
    request_bytes: usize,
    answer_bytes: usize,
    phase: ConnectionPhase,
}

impl HeldEntry {
    const fn new(key: ConnectionKey) -> Self {
        Self {
            key,
            request_bytes: 0,
            answer_bytes: 0,
            phase: ConnectionPhase::Waiting,
        }
    }

    const fn bytes(&self) -> usize {
        CONNECTION_BYTES + self.request_bytes + self.answer_bytes
    }
}

proptest! {
    // Whatever clients do, what is held is what was granted and not taken back, requests that are
    // whole are never given up, and bytes are only granted within the memory.
    #[test]
    fn memory_is_never_granted_twice(steps in prop::collection::vec(any_step(), 1..300)) {
        let mut table = empty_table(200);
        let mut held: Vec<HeldEntry> = Vec::new();
        let mut now = 0;
        for step in steps {
            let mut ended = Vec::new();
            match step {
                Step::Admit(is_peer) => {
                    let class = if is_peer { ConnectionClass::Peer } else { ConnectionClass::Caller };
                    if let AdmitVerdict::Admitted { key, ends, .. } = table.admit(at(now), class) {
                        held.push(HeldEntry::new(key));
                        ended = ends;
                    }
                }
                Step::Grow(index, bytes) => {
                    if let Some(entry) = held.get_mut(index) {
                        match table.grow(at(now), entry.key, bytes) {
                            GrowVerdict::Granted => {
                                entry.request_bytes += bytes;
                                prop_assert!(table.held_bytes() <= MEMORY_BYTES);
                            }
                            GrowVerdict::Wait { ends } => ended = ends,
                            GrowVerdict::Refused => {}
                        }
                    }
                }
                Step::Serve(index) => {
                    if let Some(entry) = held.get_mut(index) {
                        match table.serve(at(now), entry.key) {
                            GrowVerdict::Granted => {
                                entry.request_bytes += SERVING_BYTES;
                                entry.phase = ConnectionPhase::Serving;
                                prop_assert!(table.held_bytes() <= MEMORY_BYTES);
                            }
                            GrowVerdict::Wait { ends } => ended = ends,
                            GrowVerdict::Refused => {}
                        }
                    }
                }
                Step::Answer(index, bytes) => {
                    if let Some(entry) = held.get_mut(index) {
                        ended = table.begin_answer(at(now), entry.key, bytes);
                        entry.phase = ConnectionPhase::Answering;
                        entry.answer_bytes += bytes;
                    }
                }
                Step::Finish(index) => {
                    if let Some(entry) = held.get_mut(index) {
                        table.finish_answers(entry.key);
                        if entry.phase != ConnectionPhase::Answering {
                            entry.answer_bytes = 0;
                        }
                    }
                }
                Step::SetPhase(index, phase) => {
                    if let Some(entry) = held.get_mut(index) {
                        entry.phase = match phase {
                            0 => ConnectionPhase::Waiting,
                            1 => ConnectionPhase::Reading,
                            2 => ConnectionPhase::Serving,
                            _ => ConnectionPhase::Answering,
                        };
                        table.set_phase(at(now), entry.key, entry.phase);
                    }
                }
                Step::Close(index) if index < held.len() => {
                    let entry = held.swap_remove(index);
                    close(&mut table, entry.key, entry.request_bytes);
                }
                Step::Close(_) => {}
                Step::Wait(millis) => now += millis,
            }
            for end in ended {
                let entry = held.iter().find(|entry| entry.key == end).expect("it is open");
                prop_assert_ne!(entry.phase, ConnectionPhase::Serving);
            }
            let sum: usize = held.iter().map(HeldEntry::bytes).sum();
            prop_assert_eq!(table.held_bytes(), sum);
            prop_assert_eq!(table.len(), held.len());
        }
    }
}
