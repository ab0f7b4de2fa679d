//! Partial state updates.
//!
//! A lost or late partial update must not leave another instance with wrong usage for longer than
//! the interval of full updates.

mod common;

use common::{at, ms};

/// Returns two cores with the same engines; the first one has sent a full update to the second.
fn two_cores() -> (relay::RelayCore, relay::RelayCore) {
    let entries = common::four_engines();
    let mut sender = common::core_with(&entries);
    let mut receiver = common::core_of(2);
    let config = common::config(1, vec![common::draft_route()]);
    receiver.apply_store_read(
        at(0),
        at(0),
        common::full_view_update(10, &config, &entries),
    );
    let full = sender.due_update(at(0));
    assert!(!full.partial);
    receiver.apply_update(at(0), full);
    (sender, receiver)
}

/// Returns the running requests and the tokens in memory over all engines.
fn usage(core: &mut relay::RelayCore, now: clock::Timestamp) -> (u32, u32) {
    core.refresh_usage(now);
    let engines = core.backends().table().values();
    engines.fold((0, 0), |(running, held), engine| {
        let tokens: u32 = engine.streams().map(|stream| stream.held).sum();
        (running + engine.running(), held + tokens)
    })
}

fn partial_update(core: &mut relay::RelayCore, now: clock::Timestamp) -> relay::InstanceUpdate {
    let update = core.due_update(now);
    assert!(update.partial);
    update
}

#[test]
fn sends_placement_and_completion_in_partial_updates() {
    let (mut sender, mut receiver) = two_cores();

    let placement = common::placed(sender.place(at(10), common::request(at(10), 5_000)));
    receiver.apply_update(at(10), partial_update(&mut sender, at(10)));
    let while_running = usage(&mut receiver, at(10));
    let completion = common::completion(relay::BackendOutcome::Succeeded);
    sender.release(at(50), placement.key, completion);
    receiver.apply_update(at(50), partial_update(&mut sender, at(50)));

    // The request counts as running at its prefill engine and at its decode engine.
    assert_eq!(while_running, (2, 5_000));
    assert_eq!(usage(&mut receiver, at(50)), (0, 0));
}

#[test]
fn unlisted_streams_are_expected_to_continue() {
    let (mut sender, mut receiver) = two_cores();
    let first = common::placed(sender.place(at(10), common::request(at(10), 50_000)));
    sender.record_prefill_outcome(at(10), first.key, relay::BackendOutcome::Succeeded);
    receiver.apply_update(at(10), partial_update(&mut sender, at(10)));

    let second = common::placed(sender.place(at(110), common::request(at(110), 3_000)));
    receiver.apply_update(at(110), partial_update(&mut sender, at(110)));

    // The first stream, on another engine, is expected to have generated for 100 ms.
    assert_ne!(first.decode.0, second.decode.0);
    assert_eq!(usage(&mut receiver, at(110)).1, 50_000 + 100 + 3_000);
}

#[test]
fn next_full_update_repairs_lost_partial_update() {
    let (mut sender, mut receiver) = two_cores();
    common::placed(sender.place(at(10), common::request(at(10), 5_000)));
    let lost_update = partial_update(&mut sender, at(10));

    let full = sender.due_update(at(260));
    receiver.apply_update(at(260), full.clone());
    let accepted_late = receiver.apply_update(at(261), lost_update);

    assert!(!full.partial && !accepted_late);
    assert_eq!(usage(&mut receiver, at(261)).0, 2);
}

#[test]
fn ignores_partial_update_of_unknown_process() {
    let (mut sender, _) = two_cores();
    let (_, mut other_receiver) = two_cores();
    let mut update = partial_update(&mut sender, at(10));
    update.address = common::instance(9);

    other_receiver.apply_update(at(10), update);

    assert_eq!(other_receiver.instances().live_count(at(10)), 2);
}

#[test]
fn sends_full_update_for_changed_view_and_when_draining() {
    let (mut sender, _) = two_cores();
    let removal = relay::ViewChange::BackendRemoved("p1".into());

    sender.apply_store_read(at(20), at(20), common::view_changes(11, vec![removal]));
    let changed = sender.due_update(at(20));
    sender.start_draining(relay::DrainPlan::new(at(0), ms(8_000)));
    let draining = sender.due_update(at(30));

    assert!(!changed.partial && !draining.partial && draining.leaving);
}

#[test]
fn sends_full_updates_at_intervals() {
    let (mut sender, _) = two_cores();

    let partial: Vec<bool> = (1..=10)
        .map(|step| sender.due_update(at(0) + ms(100) * step).partial)
        .collect();

    assert!(partial.iter().filter(|partial| !**partial).count() >= 3);
}

#[test]
fn full_updates_between_partial_ones_list_the_other_instances() {
    let (mut sender, _) = two_cores();

    // After this partial update all full updates have even sequence numbers. Full updates with a
    // number `n % 8 == 1` list the instances; if `n` were the sequence number instead of the count
    // of full updates, none would list them.
    sender.due_update(at(1));

    let mut listing = 0;
    for step in 1..=80_u32 {
        let now = at(0) + ms(125) * step;
        for number in 2..=30 {
            sender.apply_update(now, common::instance_update(number, u64::from(step)));
        }
        let update = sender.due_update(now);
        // Shortly after the start each full update lists all instances.
        listing += u32::from(step > 20 && !update.known.is_empty());
    }

    assert!(listing > 0);
}
