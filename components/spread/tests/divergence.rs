//! Two states at one revision.

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

fn spreader_with(own: u64, weight: u32) -> spread::NoteReplicator {
    let mut spreader = spread::NoteReplicator::new(ids::InstanceId(own), own);
    let answer = spread::Input::ServiceAnswered(Some(vec![base(weight)]));
    spreader.handle(clock::Timestamp::default(), answer, &mut Vec::new());
    spreader
}

/// Passes messages between two spreaders until none is left; returns the reports of divergence.
fn exchange(pair: &mut [spread::NoteReplicator; 2], first: spread::Message) -> usize {
    let now = clock::Timestamp::from_millis(10);
    let mut queue = collections::VecDeque::from([(1, first)]);
    let mut reports = 0;
    while let Some((to, message)) = queue.pop_front() {
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
fn two_states_at_one_revision_are_reported_and_the_larger_digest_prevails() {
    let mut pair = [spreader_with(1, 1), spreader_with(2, 2)];
    let larger = pair[0].summary().max(pair[1].summary());
    assert_ne!(pair[0].summary(), pair[1].summary());

    let standing = spread::ReplicaStatus {
        summary: pair[0].summary(),
        ready: true,
    };
    let reports = exchange(&mut pair, spread::Message::StatusRequest(standing));

    assert!(reports >= 1);
    assert_eq!(pair[0].summary(), larger);
    assert_eq!(pair[1].summary(), larger);
}

#[test]
fn an_older_answer_of_the_service_changes_nothing() {
    let mut spreader = spreader_with(1, 1);
    let before = spreader.summary();

    let mut outputs = Vec::new();
    let answer = spread::Input::ServiceAnswered(Some(vec![base(7)]));
    spreader.handle(clock::Timestamp::from_millis(5), answer, &mut outputs);

    assert_eq!(spreader.summary(), before);
    assert!(
        !outputs
            .iter()
            .any(|output| matches!(output, spread::Output::InForce(_)))
    );
}
