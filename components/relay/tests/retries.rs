//! Bound on the retries of all instances.
//!
//! Each instance counts its own retries and receives the counts of the others with a delay. The sum
//! must stay within the bound, also while instances are partitioned or restart.

mod common;

use common::{at, network};

fn fleet(requests: u32, retries: u32) -> relay::FleetCount {
    relay::FleetCount {
        count: relay::RetryCount { requests, retries },
        live: 6,
        known: 6,
        coverage: 5.0,
    }
}

fn granted(
    window: &mut relay::RetryWindow,
    now: clock::Timestamp,
    fleet: relay::FleetCount,
) -> u32 {
    let mut granted = 0;
    while window.allows(now, &common::bound(), fleet, 1) {
        window.count_retries(now, 1);
        granted += 1;
    }
    granted
}

#[test]
fn one_instance_may_use_the_unused_retries_of_the_others() {
    let mut window = relay::RetryWindow::default();

    let granted = granted(&mut window, at(60_000), fleet(100, 0));

    // 0.2 x 100 + 52 = 72 retries are allowed; a part stays unused for delayed updates.
    assert!((50..=65).contains(&granted), "{granted}");
}

#[test]
fn retries_of_other_instances_count() {
    let mut window = relay::RetryWindow::default();

    let granted = granted(&mut window, at(60_000), fleet(100, 50));

    assert!(granted <= 10, "{granted}");
}

#[test]
fn allows_retries_again_after_the_window() {
    let mut window = relay::RetryWindow::default();
    let first = granted(&mut window, at(60_000), fleet(0, 0));

    let soon = granted(&mut window, at(69_000), fleet(0, 0));
    let later = granted(&mut window, at(70_001), fleet(0, 0));

    assert_eq!(soon, 0);
    assert_eq!(later, first);
}

#[test]
fn recently_started_process_uses_little_of_its_share() {
    let mut window = relay::RetryWindow::default();

    let granted = granted(&mut window, at(1_000), fleet(100, 0));

    assert!(granted <= 5, "{granted}");
}

#[test]
fn partitioned_instances_keep_the_bound_in_total() {
    let half = relay::FleetCount {
        live: 3,
        known: 6,
        ..fleet(0, 0)
    };

    let mut one = relay::RetryWindow::default();
    let mut two = relay::RetryWindow::default();
    let sum = granted(&mut one, at(60_000), half) + granted(&mut two, at(60_000), half);

    assert!(f64::from(sum) <= common::bound().slack, "{sum}");
}

#[test]
fn core_counts_retries_of_other_instances() {
    let mut core = common::core_with(&[]);
    let mut update = common::instance_update(2, 1);
    let count = relay::RetryCount {
        requests: 10,
        retries: 500,
    };
    update.retries = vec![(relay::service_hash(&common::PLAIN_SERVICE.into()), count)];
    let before = core.consume_retries(at(60_000), &common::PLAIN_SERVICE.into(), 1);

    core.apply_update(at(60_000), update);
    let after = core.consume_retries(at(60_001), &common::PLAIN_SERVICE.into(), 1);

    assert!(before && !after);
}

#[test]
fn restarted_fleet_keeps_the_bound_without_its_counts() {
    let bound = relay::RetryBound {
        slack: 220.0,
        ..common::bound()
    };
    let mut fleet = network::FleetNetwork::start(network::FleetLayout {
        instances: 40,
        data_centres: 1,
        bound,
    });

    let mut sent = 0;
    for step in 1..=200 {
        fleet.run(50);
        for index in 0..40 {
            let granted = fleet.decide(index, |core, now| {
                core.consume_retries(now, &common::PLAIN_SERVICE.into(), 1)
            });
            sent += u32::from(granted);
            fleet.notify_change(index);
        }

        // The processes before the restart may have sent four fifths of the allowed retries, evenly
        // over the window.
        let share_in_window = 1.0 - step as f64 / 200.0;
        let sent_before = 0.8 * bound.slack * share_in_window;
        let sum = f64::from(sent) + sent_before;
        assert!(sum <= bound.slack, "{sum} in the window at step {step}");
    }
    assert!(f64::from(sent) >= bound.slack / 2.0, "{sent}");
}
