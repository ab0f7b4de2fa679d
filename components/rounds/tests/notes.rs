//! Release notes under a failing service, partitions, restarts and refusals.

use std::time;

fn started_fleet(instances: u64, engines: u64) -> rounds::FleetRun {
    let layout = rounds::FleetLayout {
        instances,
        regions: 1,
        data_centres: 3,
    };
    let mut run = rounds::FleetRun::new(layout, rounds::ChooserKind::Centre, 3);
    run.publish(1, rounds::base_note(1, engines), true);
    run.run_for(time::Duration::from_secs(15));
    run
}

fn seconds(count: u64) -> time::Duration {
    time::Duration::from_secs(count)
}

fn change(run: &mut rounds::FleetRun, revision: u64) {
    run.publish(revision, rounds::change_note(revision), false);
}

fn revisions(run: &rounds::FleetRun) -> Vec<u64> {
    let nodes = run.nodes().iter();
    nodes
        .map(|node| node.spreader.summary().revision.0)
        .collect()
}

#[test]
fn a_new_instance_takes_the_state_of_its_peers_when_the_service_is_stale() {
    let mut run = started_fleet(6, 0);
    change(&mut run, 2);
    run.run_for(seconds(5));

    run.set_service(rounds::ServiceHealth::Stale(ids::Revision(1)));
    run.start(0);
    run.run_for(seconds(10));

    assert_eq!(
        run.nodes()[0].ready_at.map(|(_, revision)| revision.0),
        Some(2)
    );
}

#[test]
fn a_new_instance_that_reaches_no_peer_stays_back_and_says_so() {
    let mut run = started_fleet(6, 0);

    run.links.cut_off = [run.nodes()[0].entry.id].into();
    run.start(0);
    run.run_for(seconds(60));

    assert!(!run.nodes()[0].spreader.is_ready());
    assert_eq!(
        run.nodes()[0].spreader.readiness(),
        spread::Readiness::WaitingForPeers
    );
}

#[test]
fn a_fleet_that_starts_whole_is_ready_once_all_have_heard_each_other() {
    let run = started_fleet(8, 0);

    assert!(run.nodes().iter().all(|node| node.spreader.is_ready()));
}

#[test]
fn notes_go_on_reaching_a_fleet_after_the_service_was_down_for_an_hour() {
    let mut run = started_fleet(6, 0);

    run.set_service(rounds::ServiceHealth::Down);
    run.run_for(seconds(3_600));
    change(&mut run, 2);
    let before = revisions(&run);
    run.set_service(rounds::ServiceHealth::Up);
    run.run_for(seconds(15));

    assert_eq!(before, [1; 6]);
    assert_eq!(revisions(&run), [2; 6]);
}

#[test]
fn a_service_that_is_down_is_not_called_more_often() {
    let mut run = started_fleet(6, 0);

    run.set_service(rounds::ServiceHealth::Down);
    run.meter = rounds::RunMeter::default();
    run.run_for(seconds(600));

    let readers = 4;
    assert!(run.meter.service_calls <= 600 * readers / 4);
}

#[test]
fn a_refused_note_is_reported_everywhere_and_does_not_block_the_next() {
    let mut run = started_fleet(6, 0);

    run.publish(2, rounds::refused_note(2), false);
    change(&mut run, 3);
    run.run_for(seconds(5));

    assert_eq!(revisions(&run), [3; 6]);
    for node in run.nodes() {
        let refused = node.spreader.status(run.now()).refused;
        assert_eq!(refused.len(), 1);
        assert_eq!(refused[0].revision, ids::Revision(2));
    }
}

#[test]
fn a_divided_base_note_comes_into_force_only_when_it_is_whole() {
    let mut run = started_fleet(4, 0);
    let whole = note::ReleaseNote::from_yaml(&rounds::base_note(2, 60)).expect("base note");
    let state = note::StateInForce::from_base(&whole);
    let texts = note::split(&state, 8_000).expect("parts");

    run.publish(2, texts[0].to_string(), true);
    run.run_for(seconds(5));
    let before = revisions(&run);
    for text in &texts[1..] {
        run.publish(2, text.to_string(), true);
    }
    run.run_for(seconds(25));

    assert!(texts.len() > 2);
    assert_eq!(before, [1; 4]);
    assert_eq!(revisions(&run), [2; 4]);
    let digest = run.nodes()[0].spreader.summary().digest;
    assert_eq!(digest, state.digest());
}

#[test]
fn an_instance_that_missed_more_than_the_log_holds_fetches_the_whole_state() {
    let mut run = started_fleet(5, 1_000);
    run.stop(0);
    run.run_for(seconds(2));
    change(&mut run, 2);
    run.run_for(seconds(2));

    run.set_service(rounds::ServiceHealth::Down);
    run.start(0);
    run.run_for(seconds(15));

    assert_eq!(revisions(&run), [2; 5]);
    assert_eq!(run.nodes()[0].spreader.state().engines.len(), 1_000);
}

#[test]
fn readers_of_seven_regions_are_at_most_twice_those_of_one() {
    let readers = |instances, regions, data_centres| {
        let layout = rounds::FleetLayout {
            instances,
            regions,
            data_centres,
        };
        let mut run = rounds::FleetRun::new(layout, rounds::ChooserKind::Centre, 5);
        run.run_for(seconds(5));
        let nodes = run.nodes().iter();
        nodes
            .filter(|node| node.spreader.status(run.now()).reader)
            .count()
    };

    let (small, large) = (readers(8, 1, 3), readers(60, 7, 15));

    assert_eq!(small, 4);
    assert!(large <= 2 * small, "{large} readers");
    assert!(large >= 7, "{large} readers");
}

#[test]
fn a_note_is_in_force_within_three_seconds_of_the_end_of_a_pause() {
    let mut run = started_fleet(8, 0);
    run.pause(0, seconds(20));

    change(&mut run, 2);
    run.run_for(seconds(23));

    assert_eq!(revisions(&run), [2; 8]);
}

#[test]
fn notes_are_in_force_everywhere_within_four_seconds_while_a_data_centre_restarts() {
    let mut run = rounds::FleetRun::new(
        rounds::FleetLayout::of_size(105),
        rounds::ChooserKind::Centre,
        9,
    );
    run.links.loss = 0.02;
    run.publish(1, rounds::base_note(1, 0), true);
    run.run_for(seconds(30));
    let restarting: Vec<_> = (0..run.nodes().len())
        .filter(|index| run.nodes()[*index].entry.data_centre.as_str() == "centre-2")
        .collect();
    let mut published = Vec::new();

    for revision in 2..12 {
        for index in &restarting {
            match revision {
                4 => run.stop(*index),
                8 => run.start(*index),
                _ => {}
            }
        }
        change(&mut run, revision);
        published.push((ids::Revision(revision), run.now()));
        run.run_for(time::Duration::from_millis(1_400));
    }
    run.run_for(seconds(10));

    for (revision, moment) in published {
        for node in run.nodes().iter().filter(|node| node.started <= moment) {
            let in_force = node.in_force_at(revision).expect("in force");
            assert!(
                in_force.since(moment) <= seconds(4),
                "{revision}: {}",
                node.entry.id
            );
        }
    }
    assert!(run.nodes().iter().all(|node| node.spreader.is_ready()));
}
