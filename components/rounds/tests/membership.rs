//! Membership under pauses, partitions, restarts and departures.

use std::time;

fn fleet(instances: u64) -> rounds::FleetRun {
    let layout = rounds::FleetLayout {
        instances,
        regions: 1,
        data_centres: 3,
    };
    let mut run = rounds::FleetRun::new(layout, rounds::ChooserKind::Centre, 7);
    run.publish(1, rounds::base_note(1, 0), true);
    run.run_for(time::Duration::from_secs(15));
    run
}

fn seconds(count: u64) -> time::Duration {
    time::Duration::from_secs(count)
}

/// Returns what instance `holder` believes of instance `other`.
fn belief(run: &rounds::FleetRun, holder: usize, other: usize) -> member::MemberState {
    let id = run.nodes()[other].entry.id;
    run.nodes()[holder].members.view().members[&id].state
}

fn cut_off(run: &mut rounds::FleetRun, count: usize) {
    let cut = run.nodes()[..count].iter().map(|node| node.entry.id);
    run.links.cut_off = cut.collect();
}

#[test]
fn a_paused_instance_holds_its_view_to_be_stale_before_it_takes_anything() {
    let entry = |id| rounds::FleetLayout::of_size(8).entry(id);
    let mut table = member::MemberTable::new(entry(0), ids::Incarnation(1), 1);
    let start = clock::Timestamp::from_millis(1_000);
    let list = member::Input::Listed(vec![entry(0)]);
    table.handle(start, list, &mut Vec::new());
    assert!(table.view().fresh);

    let mut outputs = Vec::new();
    table.detect_pause(start + seconds(30), &mut outputs);

    assert!(!table.view().fresh);
    assert!(matches!(&outputs[0], member::Output::ViewChanged(view) if !view.fresh));
}

#[test]
fn an_acknowledgement_from_before_a_pause_does_not_make_a_view_fresh() {
    let entry = |id| rounds::FleetLayout::of_size(8).entry(id);
    let mut table = member::MemberTable::new(entry(0), ids::Incarnation(1), 1);
    let start = clock::Timestamp::from_millis(1_000);
    let list = || member::Input::Listed(vec![entry(0), entry(1)]);
    let mut outputs = Vec::new();
    table.handle(start, list(), &mut outputs);
    let acks: Vec<_> = outputs
        .iter()
        .filter_map(|output| ack_of(output, entry(1).id))
        .collect();
    let late = acks[0].clone();
    for ack in acks {
        table.handle(start, ack, &mut Vec::new());
    }
    assert!(table.view().fresh);

    let woken = start + seconds(30);
    let mut outputs = Vec::new();
    table.handle(woken, late, &mut outputs);
    table.handle(woken, list(), &mut outputs);
    let stale = !table.view().fresh;
    for ack in outputs
        .iter()
        .filter_map(|output| ack_of(output, entry(1).id))
    {
        table.handle(woken, ack, &mut Vec::new());
    }

    assert!(stale);
    assert!(table.view().fresh);
}

/// Returns the acknowledgement of a probe to `target`.
fn ack_of(output: &member::Output, target: ids::InstanceId) -> Option<member::Input> {
    let member::Output::Send(to, member::Message::Probe(probe)) = output else {
        return None;
    };
    let ack = member::Heartbeat {
        incarnation: ids::Incarnation(1),
        epoch: 0,
        leaving: false,
        sequence: probe.sequence,
        updates: Vec::new(),
    };
    (*to == target).then_some(member::Input::Message(target, member::Message::Ack(ack)))
}

#[test]
fn an_instance_that_wakes_alone_stays_stale_until_a_peer_answers() {
    let mut run = fleet(6);

    run.pause(0, seconds(5));
    cut_off(&mut run, 1);
    run.run_for(seconds(60));
    let alone = run.nodes()[0].members.view().clone();
    run.links.cut_off.clear();
    run.run_for(seconds(10));

    assert!(!alone.fresh);
    assert!(alone.partitioned);
    assert!(run.nodes()[0].members.view().fresh);
}

#[test]
fn both_sides_report_a_partition_and_its_end() {
    let mut run = fleet(8);

    cut_off(&mut run, 3);
    run.run_for(seconds(15));
    let parted = run
        .nodes()
        .iter()
        .all(|node| node.members.view().partitioned);
    run.links.cut_off.clear();
    run.run_for(seconds(20));

    assert!(parted);
    assert!(
        run.nodes()
            .iter()
            .all(|node| !node.members.view().partitioned)
    );
}

#[test]
fn one_failed_instance_is_held_to_be_dead_and_is_no_partition() {
    let mut run = fleet(12);

    run.stop(4);
    run.run_for(seconds(8));

    for holder in [0, 5, 11] {
        assert_eq!(belief(&run, holder, 4), member::MemberState::Dead);
        assert!(!run.nodes()[holder].members.view().partitioned);
    }
}

#[test]
fn a_leaving_instance_is_known_everywhere_within_a_second() {
    let mut run = fleet(40);
    run.links.loss = 0.02;

    run.drain(3);
    run.run_for(seconds(1));

    for holder in (0..40).filter(|holder| *holder != 3) {
        assert_eq!(
            belief(&run, holder, 3),
            member::MemberState::Leaving,
            "{holder}"
        );
    }
}

#[test]
fn a_restarted_instance_refutes_news_of_its_death() {
    let mut run = fleet(8);

    run.stop(2);
    run.run_for(seconds(8));
    let dead = belief(&run, 0, 2);
    run.start(2);
    run.run_for(seconds(5));

    assert_eq!(dead, member::MemberState::Dead);
    for holder in [0, 1, 7] {
        let id = run.nodes()[2].entry.id;
        let member = &run.nodes()[holder].members.view().members[&id];
        assert_eq!(member.state, member::MemberState::Alive);
        assert_eq!(member.incarnation, ids::Incarnation(2));
    }
}

#[test]
fn lost_messages_alone_let_nobody_be_held_dead() {
    let mut run = fleet(12);
    run.links.loss = 0.05;

    for _ in 0..60 {
        run.run_for(seconds(1));
        for node in run.nodes() {
            let members = &node.members.view().members;
            assert!(
                members
                    .values()
                    .all(|member| member.state != member::MemberState::Dead)
            );
        }
    }
}

#[test]
fn heartbeats_cost_the_same_in_a_fleet_five_times_as_large() {
    let bytes = |instances: u64| {
        let mut run = fleet(instances);
        run.run_for(seconds(30));
        run.meter = rounds::RunMeter::default();
        run.run_for(seconds(30));
        run.meter.member_bytes / 30 / instances
    };

    let (small, large) = (bytes(10), bytes(50));

    assert!(
        large * 10 <= small * 11,
        "{small} and {large} bytes a second"
    );
}
