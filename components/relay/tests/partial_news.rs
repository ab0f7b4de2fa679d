//! News that tell only what has changed.

mod common;

use common::{at, ms};

/// Returns two cores that know the same engines, the first of which has told all.
fn two_cores() -> (relay::RelayCore, relay::RelayCore) {
    let entries = common::four_engines();
    let mut teller = common::core_with(&entries);
    let mut hearer = common::core_of(2);
    let config = common::config(1, vec![common::draft_route()]);
    hearer.apply_store_read(at(0), at(0), common::full_update(10, &config, &entries));
    let all = teller.due_update(at(0));
    assert!(!all.partial);
    hearer.apply_update(at(0), all);
    (teller, hearer)
}

/// Returns the running requests and the tokens held by streams, over all engines.
fn used(core: &mut relay::RelayCore, now: clock::Timestamp) -> (u32, u32) {
    core.refresh_usage(now);
    let engines = core.book().table().values();
    engines.fold((0, 0), |(running, held), engine| {
        let tokens: u32 = engine.streams().map(|stream| stream.held).sum();
        (running + engine.running(), held + tokens)
    })
}

fn changes(core: &mut relay::RelayCore, now: clock::Timestamp) -> relay::InstanceUpdate {
    let news = core.due_update(now);
    assert!(news.partial);
    news
}

#[test]
fn a_place_that_is_given_and_its_end_are_told_as_changes() {
    let (mut teller, mut hearer) = two_cores();

    let place = common::placed(teller.place(at(10), common::ask(at(10), 5_000)));
    hearer.apply_update(at(10), changes(&mut teller, at(10)));
    let while_it_runs = used(&mut hearer, at(10));
    let end = common::ended(relay::BackendOutcome::Succeeded);
    teller.release(at(50), place.key, end);
    hearer.apply_update(at(50), changes(&mut teller, at(50)));

    assert_eq!(while_it_runs, (2, 5_000));
    assert_eq!(used(&mut hearer, at(50)), (0, 0));
}

#[test]
fn streams_that_are_not_named_again_go_on() {
    let (mut teller, mut hearer) = two_cores();
    let first = common::placed(teller.place(at(10), common::ask(at(10), 50_000)));
    teller.record_prefill_outcome(at(10), first.key, relay::BackendOutcome::Succeeded);
    hearer.apply_update(at(10), changes(&mut teller, at(10)));

    let second = common::placed(teller.place(at(110), common::ask(at(110), 3_000)));
    hearer.apply_update(at(110), changes(&mut teller, at(110)));

    // The first stream, at another engine, is expected to have generated for 100 ms.
    assert_ne!(first.decode.0, second.decode.0);
    assert_eq!(used(&mut hearer, at(110)).1, 50_000 + 100 + 3_000);
}

#[test]
fn changes_that_were_lost_are_made_good_by_the_next_news_that_tell_all() {
    let (mut teller, mut hearer) = two_cores();
    common::placed(teller.place(at(10), common::ask(at(10), 5_000)));
    let lost = changes(&mut teller, at(10));

    let all = teller.due_update(at(260));
    hearer.apply_update(at(260), all.clone());
    let late = hearer.apply_update(at(261), lost);

    assert!(!all.partial && !late);
    assert_eq!(used(&mut hearer, at(261)).0, 2);
}

#[test]
fn changes_of_a_process_that_is_not_known_mean_nothing() {
    let (mut teller, _) = two_cores();
    let (_, mut stranger) = two_cores();
    let mut news = changes(&mut teller, at(10));
    news.address = common::instance(9);

    stranger.apply_update(at(10), news);

    assert_eq!(stranger.instances().live_count(at(10)), 2);
}

#[test]
fn a_changed_view_and_a_process_that_leaves_are_told_in_full() {
    let (mut teller, _) = two_cores();
    let gone = relay::ViewChange::BackendRemoved("p1".into());

    teller.apply_store_read(at(20), at(20), common::changes(11, vec![gone]));
    let changed = teller.due_update(at(20));
    teller.start_draining();
    let leaving = teller.due_update(at(30));

    assert!(!changed.partial && !leaving.partial && leaving.leaving);
}

#[test]
fn partial_news_are_told_again_in_full_after_a_while() {
    let (mut teller, _) = two_cores();

    let partial: Vec<bool> = (1..=10)
        .map(|step| teller.due_update(at(0) + ms(100) * step).partial)
        .collect();

    assert!(partial.iter().filter(|partial| !**partial).count() >= 3);
}

#[test]
fn partial_news_between_full_ones_keep_no_instance_from_being_named() {
    let (mut teller, _) = two_cores();

    // From here on full news have even numbers.
    teller.due_update(at(1));

    let mut naming = 0;
    for step in 1..=80_u32 {
        let now = at(0) + ms(125) * step;
        for number in 2..=30 {
            teller.apply_update(now, common::news(number, u64::from(step)));
        }
        let news = teller.due_update(now);
        // A young process names all in each of its news.
        naming += u32::from(step > 20 && !news.known.is_empty());
    }

    assert!(naming > 0);
}
