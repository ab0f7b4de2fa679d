//! Measures how fast and at what cost release notes reach a fleet, under virtual time.
//!
//! `cargo run --release --example spread_study -- --case restart --instances 380`

use std::time;

use strum::IntoEnumIterator as _;

/// Time that a fleet has to start before anything is measured.
const WARM_UP: time::Duration = time::Duration::from_secs(30);

/// Time between two notes: 61,000 changes a day.
const CHANGE_INTERVAL: time::Duration = time::Duration::from_micros(86_400_000_000 / 61_000);

/// Share of messages that are lost.
const LOSS: f64 = 0.02;

/// Time that a data centre is down when it restarts.
const RESTART_TIME: time::Duration = time::Duration::from_secs(5);

/// What happens while notes are published.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::EnumIter, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
enum StudyCase {
    /// Messages are lost at random.
    Loss,
    /// One data centre restarts, over and over.
    Restart,
    /// One region is cut off for ten seconds, over and over.
    Partition,
}

/// Measures how fast and at what cost release notes reach a fleet.
#[derive(argh::FromArgs)]
struct StudyArgs {
    /// loss, restart or partition; all of them when left out
    #[argh(option)]
    case: Option<StudyCase>,

    /// number of instances; 8, 64, 380 and 1,000 when left out
    #[argh(option)]
    instances: Option<u64>,

    /// uniform, centre or ranked; all of them when left out
    #[argh(option)]
    chooser: Option<rounds::ChooserKind>,

    /// number of notes of each run
    #[argh(option, default = "200")]
    notes: u64,

    /// seed
    #[argh(option, default = "1")]
    seed: u64,
}

fn main() {
    let args: StudyArgs = argh::from_env();
    println!(
        "case       instances chooser  p50_ms  p99_ms  max_ms  unreached  bytes/s  member_B/s  far_B/s  calls/s"
    );
    for case in StudyCase::iter().filter(|case| args.case.is_none_or(|wanted| wanted == *case)) {
        for instances in [8, 64, 380, 1_000] {
            if args.instances.is_some_and(|wanted| wanted != instances) {
                continue;
            }
            for chooser in rounds::ChooserKind::iter() {
                if args.chooser.is_none_or(|wanted| wanted == chooser) {
                    study(&args, case, instances, chooser);
                }
            }
        }
    }
}

fn study(args: &StudyArgs, case: StudyCase, instances: u64, chooser: rounds::ChooserKind) {
    let layout = rounds::FleetLayout::of_size(instances);
    let mut run = rounds::FleetRun::new(layout, chooser, args.seed);
    run.links.loss = LOSS;
    run.publish(1, rounds::base_note(1, 10), true);
    run.run_for(WARM_UP);
    run.meter = rounds::RunMeter::default();
    let begin = run.now();
    let mut published = Vec::new();
    for number in 0..args.notes {
        disturb(&mut run, case, number);
        let revision = number + 2;
        run.publish(revision, rounds::change_note(revision), false);
        published.push((revision, run.now()));
        run.run_for(CHANGE_INTERVAL);
    }
    let seconds = run.now().since(begin).as_secs_f64();
    let meter = run.meter.clone();
    run.links.cut_off.clear();
    run.run_for(time::Duration::from_secs(30));
    let mut waits = Vec::new();
    let mut unreached = 0;
    for (revision, moment) in published {
        match last_in_force(&run, revision, moment) {
            Some(wait) => waits.push(wait),
            None => unreached += 1,
        }
    }
    waits.sort_unstable();
    let per = |bytes: u64| bytes as f64 / seconds / instances as f64;
    println!(
        "{:<10} {instances:>9} {:<8} {:>6} {:>7} {:>7} {unreached:>10} {:>8.0} {:>11.0} {:>8.0} {:>8.2}",
        case.to_string(),
        chooser.to_string(),
        quantile(&waits, 0.5).as_millis(),
        quantile(&waits, 0.99).as_millis(),
        quantile(&waits, 1.0).as_millis(),
        per(meter.spread_bytes + meter.member_bytes),
        per(meter.member_bytes),
        per(meter.far_bytes),
        meter.service_calls as f64 / seconds,
    );
}

/// Causes what the case is about, in a cycle of forty notes.
fn disturb(run: &mut rounds::FleetRun, case: StudyCase, number: u64) {
    let centre = run.nodes()[0].entry.data_centre.clone();
    let region = run.nodes()[0].entry.region.clone();
    let step = number % 40;
    let down = RESTART_TIME
        .as_micros()
        .div_ceil(CHANGE_INTERVAL.as_micros());
    match case {
        StudyCase::Loss => {}
        StudyCase::Restart => {
            for index in 0..run.nodes().len() {
                if run.nodes()[index].entry.data_centre == centre {
                    if step == 10 {
                        run.stop(index);
                    } else if u128::from(step) == 10 + down {
                        run.start(index);
                    }
                }
            }
        }
        StudyCase::Partition if step == 10 => {
            let cut = run
                .nodes()
                .iter()
                .filter(|node| node.entry.region == region);
            run.links.cut_off = cut.map(|node| node.entry.id).collect();
        }
        StudyCase::Partition if step == 17 => run.links.cut_off.clear(),
        StudyCase::Partition => {}
    }
}

/// Returns the time from the publication of a note until the last instance that serves had it in
/// force; an instance that started later counts once it serves.
fn last_in_force(
    run: &rounds::FleetRun,
    revision: u64,
    published: clock::Timestamp,
) -> Option<time::Duration> {
    let mut last = time::Duration::ZERO;
    for node in run.nodes() {
        if node.started > published {
            continue;
        }
        let moment = node.in_force_at(ids::Revision(revision))?;
        last = last.max(moment.since(published));
    }
    Some(last)
}

fn quantile(sorted: &[time::Duration], share: f64) -> time::Duration {
    if sorted.is_empty() {
        return time::Duration::ZERO;
    }
    let index = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len());
    sorted[index - 1]
}
