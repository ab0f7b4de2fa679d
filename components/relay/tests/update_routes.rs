//! Receivers of state updates in small and in large fleets, and forwarding when instances fail.

mod common;

use std::time;

use common::network;

const SERVICE: &str = common::PLAIN_SERVICE;

/// Retry bound that isn't exhausted by the retries of a test.
const AMPLE_BOUND: relay::RetryBound = relay::RetryBound {
    ratio: 0.2,
    slack: 1e6,
    window: time::Duration::from_secs(10),
};

/// Starts a fleet and lets its instances find each other.
fn settled_fleet(instances: usize, data_centres: usize) -> network::FleetNetwork {
    let mut fleet = network::FleetNetwork::start(network::FleetLayout {
        instances,
        data_centres,
        bound: AMPLE_BOUND,
    });
    fleet.run(5_000);
    fleet
}

/// Returns the number of running instances that know exactly `expected` instances to be alive.
fn informed(fleet: &mut network::FleetNetwork, expected: usize, skipped: &[usize]) -> usize {
    (0..fleet.members.len())
        .filter(|index| !skipped.contains(index))
        .filter(|index| fleet.live_count(*index) == expected)
        .count()
}

/// Makes an instance send a retry; returns the milliseconds until `observer` counts it.
fn propagation_millis(
    fleet: &mut network::FleetNetwork,
    sender: usize,
    observer: usize,
) -> Option<u64> {
    let service = SERVICE.into();
    let count_at = |fleet: &mut network::FleetNetwork| {
        fleet.decide(observer, |core, now| {
            let counts = core
                .instances()
                .fleet_count(now, &service, &common::bound());
            counts.count.retries
        })
    };
    let before = count_at(fleet);
    let granted = fleet.decide(sender, |core, now| core.consume_retries(now, &service, 1));
    assert!(granted, "the retry bound isn't exhausted");
    fleet.notify_change(sender);
    let start = fleet.now;
    while fleet.now < start + 2_000 {
        fleet.run(2);
        if count_at(fleet) > before {
            return Some(fleet.now - start);
        }
    }
    None
}

#[test]
fn all_instances_of_a_fleet_find_each_other() {
    for (instances, data_centres) in [(6, 3), (24, 3), (30, 5), (90, 3), (120, 5)] {
        let mut fleet = settled_fleet(instances, data_centres);

        let informed = informed(&mut fleet, instances, &[]);

        assert_eq!(informed, instances, "{instances} in {data_centres}");
    }
}

#[test]
fn datagrams_of_an_instance_do_not_grow_with_the_fleet() {
    let mut rates = Vec::new();
    for instances in [30, 120] {
        let mut fleet = settled_fleet(instances, 5);
        fleet.reset_counts();
        fleet.run(2_000);
        let small = &fleet.members[12..];
        let sum: u32 = small
            .iter()
            .map(|member| member.count.sent + member.count.received)
            .sum();
        rates.push(f64::from(sum) / small.len() as f64 / 2.0);
    }

    // A fifth of proportional growth: at four times the size at most 1.6 times the rate.
    assert!(rates[1] <= rates[0] * 1.6, "{rates:?} datagrams a second");
}

#[test]
fn datagrams_between_data_centres_do_not_grow_with_the_fleet() {
    let rates = [30, 120].map(|instances| {
        let mut fleet = settled_fleet(instances, 5);
        fleet.reset_counts();
        fleet.run(2_000);
        let members = fleet.members.iter();
        members
            .map(|member| member.count.from_elsewhere)
            .sum::<u32>()
    });

    assert!(rates[1] * 5 <= rates[0] * 8, "{rates:?} datagrams in 2 s");
}

#[test]
fn change_reaches_another_data_centre_within_thirty_milliseconds() {
    let mut fleet = settled_fleet(120, 5);

    for (sender, observer) in [(52, 73), (111, 14), (5, 64), (99, 3)] {
        let millis = propagation_millis(&mut fleet, sender, observer);

        assert!(millis <= Some(30) && millis.is_some(), "{millis:?}");
    }
}

#[test]
fn next_instance_forwards_when_the_forwarder_is_killed() {
    let mut fleet = settled_fleet(60, 3);
    // The first instances of a data centre forward.
    fleet.kill(0);
    fleet.run(450);

    let within = propagation_millis(&mut fleet, 30, 31);
    let inside = propagation_millis(&mut fleet, 31, 33);

    assert!(within.is_some_and(|millis| millis <= 40), "{within:?}");
    assert!(inside.is_some_and(|millis| millis <= 40), "{inside:?}");
    fleet.run(2_000);
    assert_eq!(informed(&mut fleet, 59, &[0]), 59);
}

#[test]
fn later_instances_forward_when_the_first_ones_are_killed_at_once() {
    let mut fleet = settled_fleet(60, 3);
    let killed: Vec<usize> = (0..24).collect();
    for index in &killed {
        fleet.kill(*index);
    }

    fleet.run(4_000);

    assert_eq!(informed(&mut fleet, 36, &killed), 36);
    let millis = propagation_millis(&mut fleet, 30, 31);
    assert!(millis.is_some_and(|millis| millis <= 40), "{millis:?}");
}

#[test]
fn half_of_the_fleet_is_back_after_a_restart() {
    let mut fleet = settled_fleet(60, 3);
    for index in 0..30 {
        fleet.kill(index);
    }
    fleet.run(600);
    for index in 0..30 {
        fleet.restart(index);
    }

    for _ in 0..10 {
        fleet.run(1_000);
        let v = (0..60).map(|i| fleet.live_count(i)).collect::<Vec<_>>();
        println!("{} {v:?}", fleet.now);
    }

    assert_eq!(informed(&mut fleet, 60, &[]), 60);
}

#[test]
fn single_instance_finds_a_running_fleet() {
    let mut fleet = settled_fleet(60, 3);
    fleet.kill(40);
    fleet.run(100);
    fleet.restart(40);

    fleet.run(1_500);

    assert_eq!(fleet.live_count(40), 60);
    assert_eq!(informed(&mut fleet, 60, &[]), 60);
}

#[test]
fn instance_that_was_cut_off_is_found_again() {
    let mut fleet = settled_fleet(60, 3);
    for index in [0, 17, 40] {
        fleet.set_cut_off(index, true);
    }
    fleet.run(12_000);
    let during = informed(&mut fleet, 57, &[0, 17, 40]);

    for index in [0, 17, 40] {
        fleet.set_cut_off(index, false);
    }
    fleet.run(5_000);

    assert_eq!(during, 57);
    assert_eq!(informed(&mut fleet, 60, &[]), 60);
}

#[test]
fn small_fleet_sends_updates_directly() {
    let mut fleet = settled_fleet(8, 3);

    for (sender, observer) in [(3, 4), (7, 0)] {
        let millis = propagation_millis(&mut fleet, sender, observer);

        assert!(millis <= Some(6) && millis.is_some(), "{millis:?}");
    }
}

#[test]
fn instances_of_an_older_version_receive_updates_directly() {
    let mut core = common::core_of(1);
    let sequence = 1;
    for number in 2..=40 {
        let mut update = common::instance_update(number, sequence);
        if number > 3 {
            update.data_centre = relay::data_centre_hash(&"a".into());
            update.capacity = 5;
        }
        core.apply_update(common::at(100), update);
    }

    let routes = core.update_routes(common::at(3_000 - 2_000));

    let receives = |number: u8| {
        let address = common::instance(number);
        routes.direct.contains(&address) || routes.forwarders.contains(&address)
    };
    assert!(receives(2) && receives(3), "{routes:?}");
}
