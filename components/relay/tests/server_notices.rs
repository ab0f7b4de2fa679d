//! Notices of servers in their answers: draining, and requests to be sent nothing for a while.

mod common;

use std::time;

use common::{at, ms};

const LLM: &str = common::GENERATING_SERVICE;
const SHOP: &str = common::PLAIN_SERVICE;

fn key_of(core: &relay::RelayCore, server: &str) -> relay::BackendKey {
    let mut backends = core.backends().table().iter();
    let found = backends.find(|(_, backend)| backend.entry.server.as_str() == server);
    found.expect("the server is known").0
}

fn plain_servers() -> Vec<relay::BackendEntry> {
    vec![common::server("s1", "a"), common::server("s2", "b")]
}

/// Selects a server for a call, which then ends; returns the server's name.
fn called_server(core: &mut relay::RelayCore, now: clock::Timestamp) -> Option<String> {
    let selection = core.select_server(now, &SHOP.into(), &[]).ok()?;
    core.record_call_outcome(now, selection.key, relay::BackendOutcome::Succeeded, ms(10));
    Some(selection.entry.server.to_string())
}

#[test]
fn server_that_reports_its_drain_receives_no_call() {
    let mut core = common::core_with(&plain_servers());
    let key = key_of(&core, "s1");

    let is_new = core.record_draining(at(100), key);
    let repeated = core.record_draining(at(200), key);

    assert!(is_new && !repeated);
    for step in 0..20 {
        let called = called_server(&mut core, at(200 + step * 500));
        assert_eq!(called.as_deref(), Some("s2"));
    }
}

#[test]
fn engine_that_reports_its_drain_receives_no_placement() {
    let mut core = common::core_with(&common::four_engines());
    for server in ["p1", "d2"] {
        let key = key_of(&core, server);
        core.record_draining(at(100), key);
    }

    for step in 0..4 {
        let now = at(200 + step);
        let placement = common::placed(core.place(now, common::request(now, 3_000)));
        let prefill = placement.prefill.expect("a prefill engine is selected").1;

        assert_eq!(prefill.server.as_str(), "p2");
        assert_eq!(placement.decode.1.server.as_str(), "d1");
    }
}

#[test]
fn drain_is_reported_to_other_instances_and_by_them_to_others() {
    let [mut first, mut second, mut third] = [1, 2, 3].map(|number| {
        let mut core = common::core_of(number);
        let config = common::config(1, vec![common::order_route()]);
        let view = common::full_view_update(10, &config, &plain_servers());
        core.apply_store_read(at(0), at(0), view);
        core
    });
    let key = key_of(&first, "s1");
    let _sent = first.full_update(at(90));

    first.record_draining(at(100), key);
    second.apply_update(at(102), first.due_update(at(101)));
    assert_eq!(called_server(&mut second, at(103)).as_deref(), Some("s2"));
    third.apply_update(at(105), second.due_update(at(104)));

    assert_eq!(called_server(&mut third, at(106)).as_deref(), Some("s2"));
}

#[test]
fn drain_lasts_while_the_list_shows_the_server_as_ready_or_omits_it() {
    let mut core = common::core_with(&plain_servers());
    let key = key_of(&core, "s1");
    core.record_draining(at(100), key);
    let ready = relay::ViewChange::Backend(common::server("s1", "a"));
    let removed = relay::ViewChange::BackendRemoved("s1".into());

    let listed = common::view_changes(12, vec![ready.clone()]);
    core.apply_store_read(at(1_000), at(1_000), listed);
    assert_eq!(called_server(&mut core, at(1_001)).as_deref(), Some("s2"));
    let unlisted = common::view_changes(13, vec![removed]);
    core.apply_store_read(at(2_000), at(2_000), unlisted);
    let listed_again = common::view_changes(14, vec![ready]);
    core.apply_store_read(at(30_000), at(30_000), listed_again);

    assert_eq!(called_server(&mut core, at(30_001)).as_deref(), Some("s2"));
}

#[test]
fn drain_and_backoff_end_when_the_server_restarts() {
    let mut core = common::core_with(&[common::server("s1", "a")]);
    let key = key_of(&core, "s1");
    core.record_draining(at(100), key);
    core.record_backoff(at(100), key, ms(60_000));
    assert_eq!(called_server(&mut core, at(200)), None);

    let mut restarted = common::server("s1", "a");
    restarted.born_millis += 1;
    let change = relay::ViewChange::Backend(restarted);
    core.apply_store_read(at(500), at(500), common::view_changes(12, vec![change]));

    assert_eq!(called_server(&mut core, at(501)).as_deref(), Some("s1"));
}

#[test]
fn server_that_asked_for_a_backoff_receives_nothing_until_its_end() {
    let mut core = common::core_with(&plain_servers());
    let key = key_of(&core, "s1");

    core.record_backoff(at(100), key, ms(3_000));

    for millis in (100..3_100).step_by(100) {
        let called = called_server(&mut core, at(millis));
        assert_eq!(called.as_deref(), Some("s2"), "at {millis} ms");
    }
    let later: Vec<_> = (0..40)
        .filter_map(|step| called_server(&mut core, at(3_100 + step * 100)))
        .collect();
    assert!(later.iter().any(|server| server == "s1"));
}

#[test]
fn shorter_backoff_does_not_end_a_longer_one() {
    let mut core = common::core_with(&[common::server("s1", "a")]);
    let key = key_of(&core, "s1");

    core.record_backoff(at(100), key, ms(3_000));
    core.record_backoff(at(200), key, ms(10));

    assert_eq!(called_server(&mut core, at(3_000)), None);
    assert_eq!(core.backoff(at(3_000), key), ms(100));
}

#[test]
fn backoff_is_bounded() {
    let mut core = common::core_with(&[common::server("s1", "a")]);
    let key = key_of(&core, "s1");

    let applied = core.record_backoff(at(0), key, time::Duration::MAX);

    assert_eq!(applied, time::Duration::from_secs(3_600));
}

#[test]
fn call_is_refused_with_the_shortest_wait_when_all_servers_back_off() {
    let mut core = common::core_with(&plain_servers());
    let (first, second) = (key_of(&core, "s1"), key_of(&core, "s2"));
    core.record_backoff(at(100), first, ms(5_000));
    core.record_backoff(at(200), second, ms(2_000));

    let refusal = core
        .select_server(at(700), &SHOP.into(), &[])
        .expect_err("both servers back off");

    assert_eq!(refusal.reason, relay::RefusalReason::Backoff);
    assert_eq!(refusal.retry_after, ms(1_500));
    assert!(called_server(&mut core, at(2_200)).is_some());
}

#[test]
fn generation_is_refused_on_arrival_when_all_decode_engines_back_off() {
    let mut core = common::core_with(&common::four_engines());
    for server in ["d1", "d2"] {
        let key = key_of(&core, server);
        core.record_backoff(at(100), key, ms(4_000));
    }

    let outcome = core.place(at(600), common::request(at(600), 3_000));

    let relay::PlacementOutcome::Refused(refusal) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(refusal.reason, relay::RefusalReason::Backoff);
    assert_eq!(refusal.retry_after, ms(3_500));
}

#[test]
fn waiting_generation_is_refused_when_its_engines_back_off_for_too_long() {
    let mut core = common::core_with(&common::four_engines());
    let mut outcomes = Vec::new();
    for step in 0..60 {
        let now = at(step);
        outcomes.push(core.place(now, common::request(now, 9_000)));
    }
    assert!(core.has_waiting(), "{outcomes:?}");

    for server in ["d1", "d2"] {
        let key = key_of(&core, server);
        core.record_backoff(at(100), key, ms(9_000));
    }
    let refused = core.poll_queue(at(101));

    assert!(!refused.is_empty() && !core.has_waiting());
    for (_, outcome) in refused {
        let relay::PlacementOutcome::Refused(refusal) = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!(refusal.retry_after, ms(8_999));
    }
}

#[test]
fn prefilled_stream_leaves_a_decode_engine_that_drains_or_backs_off() {
    for notice in ["drain", "backoff"] {
        let mut core = common::core_with(&common::four_engines());
        let placement = common::placed(core.place(at(0), common::request(at(0), 3_000)));
        let previous = placement.decode.0;
        if notice == "drain" {
            core.record_draining(at(50), previous);
        } else {
            core.record_backoff(at(50), previous, ms(1_000));
        }

        let moved = core.rebalance_decode(at(100), placement.key);

        let moved = moved.expect("the other engine has capacity");
        assert_ne!(moved.decode.0, previous, "{notice}");
    }
}

#[test]
fn retry_goes_to_another_engine_when_the_engine_is_unwilling() {
    let failure = |has_result: bool, engine_unwilling: bool| {
        relay::StepFailure::builder()
            .step(relay::StreamStep::Decode)
            .outcome(relay::BackendOutcome::Refused)
            .not_run(true)
            .has_result(has_result)
            .engine_unwilling(engine_unwilling)
            .build()
            .preferred_step()
    };

    assert_eq!(failure(true, false), relay::NextStep::RetryDecode);
    assert_eq!(failure(true, true), relay::NextStep::MoveDecode);
    assert_eq!(failure(false, true), relay::NextStep::Restart);
}

#[test]
fn broken_stream_does_not_resume_on_an_unwilling_engine() {
    let failure = relay::StepFailure::builder()
        .step(relay::StreamStep::Generate)
        .outcome(relay::BackendOutcome::Broken)
        .not_run(false)
        .engine_unwilling(true)
        .build();

    assert_eq!(failure.preferred_step(), relay::NextStep::Restart);
}

#[test]
fn unwilling_engine_receives_no_order() {
    let mut core = common::core_with(&common::four_engines());
    let key = key_of(&core, "d1");
    core.record_draining(at(100), key);

    assert!(!core.may_receive(at(200), key));
    assert!(core.may_receive(at(200), key_of(&core, "d2")));
    assert_eq!(core.entry(key).map(|entry| entry.service), Some(LLM.into()));
}
