//! Repeats that all instances may send together.

mod common;

use common::at;

fn fleet(requests: u32, retries: u32) -> relay::FleetCount {
    relay::FleetCount {
        count: relay::RetryCount { requests, retries },
        live: 6,
        known: 6,
        covered: 5.0,
    }
}

fn granted(
    window: &mut relay::RetryWindow,
    now: clock::Timestamp,
    fleet: relay::FleetCount,
) -> u32 {
    let mut granted = 0;
    while window.allows(now, &common::bound(), fleet, 1) {
        window.count_repeats(now, 1);
        granted += 1;
    }
    granted
}

#[test]
fn one_instance_may_use_what_the_others_leave() {
    let mut window = relay::RetryWindow::default();

    let granted = granted(&mut window, at(60_000), fleet(100, 0));

    // 0.2 x 100 + 52 = 72 are allowed; a part is left for news that are late.
    assert!((50..=65).contains(&granted), "{granted}");
}

#[test]
fn what_the_others_used_is_used() {
    let mut window = relay::RetryWindow::default();

    let granted = granted(&mut window, at(60_000), fleet(100, 50));

    assert!(granted <= 10, "{granted}");
}

#[test]
fn repeats_are_allowed_again_when_the_window_has_passed() {
    let mut window = relay::RetryWindow::default();
    let first = granted(&mut window, at(60_000), fleet(0, 0));

    let soon = granted(&mut window, at(69_000), fleet(0, 0));
    let later = granted(&mut window, at(70_001), fleet(0, 0));

    assert_eq!(soon, 0);
    assert_eq!(later, first);
}

#[test]
fn a_process_that_just_started_uses_little_of_its_share() {
    let mut window = relay::RetryWindow::default();

    let granted = granted(&mut window, at(1_000), fleet(100, 0));

    assert!(granted <= 5, "{granted}");
}

#[test]
fn instances_that_are_cut_off_from_each_other_keep_the_bound_together() {
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
fn the_core_counts_repeats_of_the_others() {
    let mut core = common::core_with(&[]);
    let mut news = common::news(2, 1);
    let count = relay::RetryCount {
        requests: 10,
        retries: 500,
    };
    news.retries = vec![(relay::service_hash(&common::SHOP.into()), count)];
    let before = core.take_retries(at(60_000), &common::SHOP.into(), 1);

    core.apply_update(at(60_000), news);
    let after = core.take_retries(at(60_001), &common::SHOP.into(), 1);

    assert!(before && !after);
}

#[test]
fn a_fleet_that_restarts_keeps_the_bound_though_its_counts_are_lost() {
    let bound = relay::RetryBound {
        slack: 220.0,
        ..common::bound()
    };
    let mut cores: Vec<relay::RelayCore> = (1..=40)
        .map(|number| {
            let settings = relay::CoreSettings::builder()
                .address(common::instance(number))
                .incarnation(1_000 + u64::from(number))
                .data_centre("a".into())
                .seeds((1..=3).map(common::instance).collect())
                .retry_bound(bound)
                .seed(u64::from(number))
                .build();
            relay::RelayCore::new(settings)
        })
        .collect();

    let mut sent = 0;
    for step in 1..=200 {
        let now = at(step * 50);
        for core in &mut cores {
            sent += u32::from(core.take_retries(now, &common::SHOP.into(), 1));
        }
        let news: Vec<_> = cores.iter_mut().map(|core| core.news(now)).collect();
        let targets: Vec<_> = cores.iter().map(|core| core.update_targets(now)).collect();
        for (news, targets) in news.iter().zip(targets) {
            for (core, number) in cores.iter_mut().zip(1..) {
                if targets.contains(&common::instance(number)) {
                    core.apply_update(now, news.clone());
                }
            }
        }

        // The processes before may have sent four fifths of what is allowed, evenly.
        let left_in_window = 1.0 - step as f64 / 200.0;
        let lost = 0.8 * bound.slack * left_in_window;
        let sum = f64::from(sent) + lost;
        assert!(sum <= bound.slack, "{sum} in the window at step {step}");
    }
    assert!(f64::from(sent) >= bound.slack / 2.0, "{sent}");
}
