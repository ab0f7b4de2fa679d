//! Tests of the counts of a link.

use tokio::time;

use crate::link_counts;

const TIMEOUT: time::Duration = time::Duration::from_millis(500);

fn later(start: time::Instant, millis: u64) -> time::Instant {
    start + time::Duration::from_millis(millis)
}

#[test]
fn a_link_is_silent_when_its_first_message_stays_unacknowledged() {
    let start = time::Instant::now();
    let mut counts = link_counts::LinkCounts::new(start);

    counts.count_sent(later(start, 10));
    counts.count_sent(later(start, 400));

    assert_eq!(counts.silent_at(TIMEOUT), Some(later(start, 510)));
}

#[test]
fn progress_of_acknowledgements_restarts_the_wait() {
    let start = time::Instant::now();
    let mut counts = link_counts::LinkCounts::new(start);
    counts.count_sent(start);
    counts.count_sent(start);

    counts.take(later(start, 300), 0, 1);

    assert_eq!(counts.silent_at(TIMEOUT), Some(later(start, 800)));
}

#[test]
fn a_link_with_everything_acknowledged_is_never_silent() {
    let start = time::Instant::now();
    let mut counts = link_counts::LinkCounts::new(start);
    let sequence = counts.count_sent(start);

    counts.take(later(start, 1), 0, sequence);

    assert!(counts.is_settled());
    assert_eq!(counts.silent_at(TIMEOUT), None);
}

#[test]
fn an_acknowledgement_alone_neither_owes_one_nor_keeps_the_link_open() {
    let start = time::Instant::now();
    let mut counts = link_counts::LinkCounts::new(start);

    counts.take(later(start, 100), 0, 0);

    assert!(!counts.owes_ack());
    assert_eq!(counts.idle_at(TIMEOUT), start + TIMEOUT);
}

#[test]
fn an_acknowledgement_of_what_was_never_sent_counts_for_nothing() {
    let start = time::Instant::now();
    let mut counts = link_counts::LinkCounts::new(start);
    counts.count_sent(start);

    counts.take(start, 0, 99);
    counts.count_sent(start);

    assert!(!counts.is_settled());
}
