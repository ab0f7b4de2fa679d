//! What instances know of each other.

mod common;

use common::at;

/// Tokens that a stream generates in a millisecond.
const PACE: f64 = 1.0;

#[test]
fn news_of_a_restarted_process_are_taken_though_its_clock_was_set_back() {
    let mut book = relay::InstanceBook::new(common::instance(1), vec![]);
    let mut first = common::news(2, 900);
    first.incarnation = 5_000;
    let mut second = common::news(2, 1);
    second.incarnation = 3_000;
    book.apply_update(at(0), first, PACE);

    let early = book.apply_update(at(100), second.clone(), PACE);
    let late = book.apply_update(at(1_000), second, PACE);

    assert!(!early && late);
}

#[test]
fn instances_find_each_other_through_one_that_both_know() {
    let mut book = relay::InstanceBook::new(common::instance(1), vec![common::instance(9)]);
    let mut news = common::news(9, 1);
    news.known = vec![common::instance(3), common::instance(1)];

    book.apply_update(at(0), news, PACE);

    let targets: Vec<_> = book.targets(at(1)).into_iter().collect();
    assert_eq!(targets, [common::instance(3), common::instance(9)]);
}

#[test]
fn an_instance_that_is_silent_or_leaves_is_not_counted() {
    let mut book = relay::InstanceBook::new(common::instance(5), vec![]);
    let mut leaving = common::news(2, 1);
    leaving.leaving = true;
    book.apply_update(at(0), leaving, PACE);
    book.apply_update(at(0), common::news(3, 1), PACE);

    assert_eq!((book.live_count(at(100)), book.rank(at(100))), (2, 1));
    assert_eq!((book.live_count(at(2_000)), book.rank(at(2_000))), (1, 0));
}
