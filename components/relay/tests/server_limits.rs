//! Servers that limit the rate of the requests from all instances together.

mod common;

use common::limited;

/// Calls a second of all callers.
const CALL_RATE: f64 = 44.0;

/// Calls a second that each of the four servers of a small site gets without limits.
const EQUAL_SHARE: f64 = CALL_RATE / 4.0;

/// Returns a site of eight instances and four servers of which the first one names a limit.
fn small_site(limit: f64) -> limited::LimitedSite {
    let mut site = limited::LimitedSite::start(8, 4, 4, 1);
    site.run(1_000, 40.0);
    site.limit(0, Some(limit));
    site
}

/// Returns a core with two prefill and two decode engines, of which those of `names` limit their rate
/// to two requests a second from 100 ms on.
fn core_with_limited_engines(names: &[&str]) -> relay::RelayCore {
    let mut core = common::core_with(&common::four_engines());
    for name in names {
        let mut backends = core.backends().table().iter();
        let found = backends.find(|(_, backend)| backend.entry.server.as_str() == *name);
        let key = found.expect("the engine is listed").0;
        core.record_rate_limit(common::at(100), key, Some(2.0));
    }
    core
}

/// Checks that no server got more than it allows.
fn assert_within_limits(site: &limited::LimitedSite) {
    for server in &site.servers {
        assert_eq!(server.excess(), None);
    }
}

/// Returns the requests a second that the first server got in the last `seconds` seconds.
fn recent_rate(site: &limited::LimitedSite, seconds: u64) -> f64 {
    let now = site.fleet.now;
    let arrivals = site.servers[0].arrivals_between(now - seconds * 1_000, now);
    arrivals as f64 / seconds as f64
}

#[test]
fn caller_is_told_to_return_at_once() {
    let mut core = common::core_with(&[common::server("s1", "a")]);
    let key = core.backends().table().keys().next().expect("a server");
    core.record_rate_limit(common::at(100), key, Some(40.0));

    let delays = (100..6_000).filter_map(|millis| {
        let selected = core.select_server(common::at(millis), &common::PLAIN_SERVICE.into(), &[]);
        selected.err().map(|refusal| refusal.retry_after)
    });
    let shortest = delays.min().expect("some calls are refused");

    assert!(shortest >= common::ms(10), "{shortest:?}");
}

#[test]
fn instances_exceed_a_limit_together() {
    for limit in [0.5, 4.6, 12.0] {
        let mut site = small_site(limit);

        site.run(20_000, CALL_RATE);

        assert_within_limits(&site);
        let rate = recent_rate(&site, 15);
        assert!(rate >= 0.5 * limit.min(EQUAL_SHARE), "{rate} of {limit}");
        assert_eq!(site.refused, 0);
    }
}

#[test]
fn instances_with_few_callers_keep_tokens_from_one_with_many() {
    let mut site = small_site(5.0);
    site.weights = vec![0.0; 8];
    site.weights[3] = 1.0;
    site.weights[5] = 0.05;

    site.run(20_000, CALL_RATE);

    assert_within_limits(&site);
    let rate = recent_rate(&site, 15);
    assert!(rate >= 2.5, "{rate} of 5");
}

#[test]
fn falling_and_ending_limits_are_noticed_late() {
    let mut site = small_site(8.0);
    site.run(6_000, CALL_RATE);
    for limit in [6.0, 4.0, 2.0, 1.0] {
        site.limit(0, Some(limit));
        site.run(5_000, CALL_RATE);
    }
    let low = recent_rate(&site, 3);
    site.limit(0, None);
    site.run(5_000, CALL_RATE);

    assert_within_limits(&site);
    let rate = recent_rate(&site, 4);
    assert!(low <= 1.5, "{low} of 1");
    assert!(rate >= 0.5 * EQUAL_SHARE, "{rate} without a limit");
}

#[test]
fn limit_of_zero_is_never_asked_whether_it_has_ended() {
    let mut site = small_site(0.0);
    site.run(12_000, CALL_RATE);
    let during = recent_rate(&site, 10);
    site.limit(0, None);
    site.run(12_000, CALL_RATE);

    assert_within_limits(&site);
    assert!(during > 0.0 && during <= 0.4, "{during}");
    let rate = recent_rate(&site, 4);
    assert!(rate >= 0.5 * EQUAL_SHARE, "{rate} without a limit");
}

#[test]
fn joining_restarted_and_killed_instances_add_to_a_limit() {
    let mut site = small_site(4.0);
    for index in [1, 2, 3, 4] {
        site.run(2_000, CALL_RATE);
        site.fleet.kill(index);
        site.weights[index] = 0.0;
        site.run(1_500, CALL_RATE);
        site.restart(index);
        site.run(500, CALL_RATE);
        site.weights[index] = 1.0;
    }
    site.run(6_000, CALL_RATE);

    assert_within_limits(&site);
    let rate = recent_rate(&site, 5);
    assert!(rate >= 2.0, "{rate} of 4");
}

#[test]
fn instances_that_are_cut_off_use_the_whole_limit_on_both_sides() {
    let mut site = small_site(6.0);
    site.run(4_000, CALL_RATE);
    for index in [0, 1, 2] {
        site.fleet.set_cut_off(index, true);
    }
    site.run(8_000, CALL_RATE);
    let during = recent_rate(&site, 6);
    for index in [0, 1, 2] {
        site.fleet.set_cut_off(index, false);
    }
    site.run(8_000, CALL_RATE);

    assert_within_limits(&site);
    let after = recent_rate(&site, 5);
    assert!((3.0..=6.5).contains(&during), "{during} of 6");
    assert!(after >= 3.0, "{after} of 6");
}

#[test]
fn callers_wait_for_servers_that_are_all_at_their_limits() {
    let mut site = small_site(3.0);
    for server in 1..4 {
        site.limit(server, Some(3.0));
    }
    site.run(15_000, CALL_RATE);

    assert_within_limits(&site);
    let served = f64::from(site.sent - site.refused);
    let refusal = site.fleet.decide(0, |core, now| {
        let selected: Vec<_> = (0..8)
            .filter_map(|_| {
                core.select_server(now, &common::PLAIN_SERVICE.into(), &[])
                    .err()
            })
            .collect();
        selected.last().copied()
    });
    let refusal = refusal.expect("the servers are at their limits");
    assert!(served >= 0.8 * 12.0 * 15.0, "{served}");
    assert_eq!(refusal.reason, relay::RefusalReason::RateLimit);
    assert!(refusal.retry_after <= common::ms(2_000));
}

#[test]
fn simultaneous_calls_to_a_large_fleet_exceed_a_limit() {
    for (instances, servers) in [(90, 4), (295, 6)] {
        let mut site = limited::LimitedSite::start(instances, 5, servers, 3);
        site.run(500, 100.0);
        for server in 0..servers {
            site.limit(server, Some(3.0 + server as f64 / 2.0));
        }
        for _ in 0..5 {
            site.run(1_500, 200.0);
            site.burst(60);
        }

        assert_within_limits(&site);
    }
}

#[test]
fn generations_exceed_the_limits_of_engines() {
    for names in [["d1", "d2"], ["p1", "p2"]] {
        let mut core = core_with_limited_engines(&names);
        let mut placed = 0;
        let mut refusals = Vec::new();
        for step in 0..30 {
            let now = common::at(1_100 + step);
            let mut request = common::request(now, 500);
            request.first_token_due = request.wait_until;
            match core.place(now, request) {
                relay::PlacementOutcome::Placed(placement) => {
                    assert!(placement.prefill.is_some());
                    placed += 1;
                }
                relay::PlacementOutcome::Waiting(_) => {}
                relay::PlacementOutcome::Refused(refusal) => refusals.push(refusal.reason),
            }
        }
        let on_arrival = placed;
        for step in 1..=20 {
            let outcomes = core.poll_queue(common::at(1_130 + step * 100));
            placed += outcomes
                .iter()
                .filter(|(_, outcome)| matches!(outcome, relay::PlacementOutcome::Placed(_)))
                .count();
        }

        assert_eq!(on_arrival, 2, "{names:?}");
        assert!((8..=10).contains(&placed), "{names:?}: {placed} in 2 s");
        assert!(
            refusals.contains(&relay::RefusalReason::RateLimit),
            "{refusals:?}"
        );
    }
}

#[test]
fn broken_stream_resumes_on_an_engine_at_its_limit() {
    let mut core = core_with_limited_engines(&["d1", "d2"]);
    let now = common::at(1_100);
    let placement = common::placed(core.place(now, common::request(now, 500)));

    let may_repeat = core.may_repeat(now, placement.decode.0);

    assert!(!may_repeat);
    assert!(core.may_repeat(common::at(1_700), placement.decode.0));
}

#[test]
fn generation_waits_for_engines_that_accept_nothing() {
    let mut core = common::core_with(&common::four_engines());
    let engines: Vec<_> = core.backends().table().keys().collect();
    for key in engines {
        core.record_rate_limit(common::at(100), key, Some(0.0));
    }

    let outcome = core.place(common::at(200), common::request(common::at(200), 500));

    let relay::PlacementOutcome::Refused(refusal) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(refusal.reason, relay::RefusalReason::RateLimit);
}
