//! Guards against instances that keep different states at the same revision, which comes about when
//! the configuration service serves them different texts under one revision.

use std::collections;

fn base(weight: u32) -> border::NoteValue {
    border::NoteValue {
        revision: ids::Revision(1),
        text: format!(
            "revision: 1\nbase: true\nadded:\n  workspaces:\n    - {{ name: desk, weight: {weight}, \
             in_flight_limit: 4 }}\n"
        ),
    }
}

fn replicator_with(own: u64, weight: u32) -> spread::NoteReplicator {
    let mut replicator = spread::NoteReplicator::new(ids::InstanceId(own), own);
    let response = spread::Input::ServiceResponded(Some(vec![base(weight)]));
    replicator.handle(clock::Timestamp::default(), response, &mut Vec::new());
    replicator
}

/// Exchanges messages between two replicators until none is in flight; returns the number of
/// reported divergences.
fn exchange(pair: &mut [spread::NoteReplicator; 2], first: spread::Message) -> usize {
    let now = clock::Timestamp::from_millis(10);
    let mut queue = collections::VecDeque::from([(1, first)]);
    let mut reports = 0;
    while let Some((to, message)) = queue.pop_front() {
        // The replicator at index `i` has the id `i + 1`.
        let from = ids::InstanceId(2 - to as u64);
        let mut outputs = Vec::new();
        pair[to].handle(now, spread::Input::Message(from, message), &mut outputs);
        for output in outputs {
            match output {
                spread::Output::Send(_, message) => queue.push_back((1 - to, message)),
                spread::Output::Diverged(..) => reports += 1,
                _ => {}
            }
        }
    }
    reports
}

#[test]
fn reports_two_states_at_one_revision_and_adopts_the_larger_digest() {
    let mut pair = [replicator_with(1, 1), replicator_with(2, 2)];
    let larger = pair[0].summary().max(pair[1].summary());
    assert_ne!(pair[0].summary(), pair[1].summary());

    let status = spread::ReplicaStatus {
        summary: pair[0].summary(),
        ready: true,
    };
    let reports = exchange(&mut pair, spread::Message::StatusRequest(status));

    assert!(reports >= 1);
    assert_eq!(pair[0].summary(), larger);
    assert_eq!(pair[1].summary(), larger);
}

#[test]
fn ignores_a_service_response_without_a_later_revision() {
    let mut replicator = replicator_with(1, 1);
    let before = replicator.summary();

    let mut outputs = Vec::new();
    let response = spread::Input::ServiceResponded(Some(vec![base(7)]));
    replicator.handle(clock::Timestamp::from_millis(5), response, &mut outputs);

    assert_eq!(replicator.summary(), before);
    assert!(
        !outputs
            .iter()
            .any(|output| matches!(output, spread::Output::InForce(_)))
    );
}
