//! What is in force never reverts, whatever happens.
//!
//! CI runs a fixed set; more by `PROPTEST_CASES=10000 cargo test --release -p rounds --test
//! histories`.

use std::time;

use proptest::{
    prelude::{Just, ProptestConfig, Strategy, prop, prop_oneof, proptest},
    test_runner::RngSeed,
};

/// Instances of the fleet.
const INSTANCES: usize = 6;

/// Time within which the fleet agrees once all faults are over.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(60);

/// Something that happens to the fleet.
#[derive(Clone, Debug)]
enum Fault {
    Publish,
    PublishRefused,
    PublishBase,
    Stop(usize),
    Start(usize),
    Pause(usize, u64),
    CutOff(usize),
    Heal,
    Service(u8),
    Loss(u8),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::Publish),
        1 => Just(Fault::PublishRefused),
        1 => Just(Fault::PublishBase),
        2 => (0..INSTANCES).prop_map(Fault::Stop),
        4 => (0..INSTANCES).prop_map(Fault::Start),
        2 => (0..INSTANCES, 100_u64..20_000).prop_map(|(index, ms)| Fault::Pause(index, ms)),
        2 => (1..INSTANCES).prop_map(Fault::CutOff),
        2 => Just(Fault::Heal),
        3 => (0_u8..5).prop_map(Fault::Service),
        1 => (0_u8..40).prop_map(Fault::Loss),
    ]
}

fn small_fleet(seed: u64) -> rounds::FleetRun {
    let layout = rounds::FleetLayout {
        instances: INSTANCES as u64,
        regions: 1,
        data_centres: 3,
    };
    let mut run = rounds::FleetRun::new(layout, rounds::ChooserKind::Centre, seed);
    run.publish(1, rounds::base_note(1, 0), true);
    run.run_for(time::Duration::from_secs(10));
    run
}

fn cause(run: &mut rounds::FleetRun, latest: &mut u64, fault: &Fault) {
    match fault {
        Fault::Publish | Fault::PublishRefused | Fault::PublishBase => {
            *latest += 1;
            let (text, base) = match fault {
                Fault::PublishBase => (rounds::base_note(*latest, 0), true),
                Fault::PublishRefused => (rounds::refused_note(*latest), false),
                _ => (rounds::change_note(*latest), false),
            };
            run.publish(*latest, text, base);
        }
        Fault::Stop(index) => run.stop(*index),
        Fault::Start(index) => run.start(*index),
        Fault::Pause(index, ms) => run.pause(*index, time::Duration::from_millis(*ms)),
        Fault::CutOff(count) => {
            let cut = run.nodes()[..*count].iter().map(|node| node.entry.id);
            run.links.cut_off = cut.collect();
        }
        Fault::Heal => run.links.cut_off.clear(),
        Fault::Service(kind) => run.set_service(match kind {
            0 => rounds::ServiceHealth::Down,
            1 => rounds::ServiceHealth::Silent,
            2 => rounds::ServiceHealth::Stale(ids::Revision(*latest / 2 + 1)),
            _ => rounds::ServiceHealth::Up,
        }),
        Fault::Loss(percent) => run.links.loss = f64::from(*percent) / 100.0,
    }
}

fn end_faults(run: &mut rounds::FleetRun) {
    run.links.loss = 0.0;
    run.links.cut_off.clear();
    run.set_service(rounds::ServiceHealth::Up);
    for index in 0..INSTANCES {
        if !run.nodes()[index].is_up {
            run.start(index);
        }
    }
    run.run_for(SETTLE_TIME);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn nothing_reverts_and_the_fleet_agrees_once_the_faults_are_over(
        seed in 0_u64..1_000_000,
        faults in prop::collection::vec((fault(), 0_u64..5_000), 1..25),
    ) {
        let mut run = small_fleet(seed);
        let mut latest = 1;

        for (fault, wait) in &faults {
            cause(&mut run, &mut latest, fault);
            run.run_for(time::Duration::from_millis(*wait));
        }
        end_faults(&mut run);

        assert_eq!(run.meter.reversions, 0);
        let first = run.nodes()[0].spreader.summary();
        assert_eq!(first.revision, ids::Revision(latest));
        for node in run.nodes() {
            assert_eq!(node.spreader.summary(), first, "instance {}", node.entry.id);
            assert!(node.spreader.is_ready(), "instance {}", node.entry.id);
            assert!(node.members.view().fresh, "instance {}", node.entry.id);
            assert!(!node.members.view().partitioned, "instance {}", node.entry.id);
        }
    }
}
