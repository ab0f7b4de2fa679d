//! Measures the latency and traffic of distributing release notes to a fleet, in simulated time.
//!
//! The latency of a release note is the time from its publication until it is in force on the last
//! instance; instances that start after the publication don't count. Byte rates are per instance;
//! the rate of calls to the configuration service is that of the whole fleet.
//!
//! `cargo run --release --example spread_study -- --case restart --instances 380`

use std::time;

use strum::IntoEnumIterator as _;

/// Simulated time for the fleet to start before the measurement begins.
const WARM_UP: time::Duration = time::Duration::from_secs(30);

/// Interval between two release notes: 61,000 changes a day.
const CHANGE_INTERVAL: time::Duration = time::Duration::from_micros(86_400_000_000 / 61_000);

/// Fraction of messages that are lost.
const LOSS: f64 = 0.02;

/// Downtime of a data centre that restarts.
const RESTART_DOWNTIME: time::Duration = time::Duration::from_secs(5);

/// Fault that is injected while release notes are published.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::EnumIter, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
enum StudyCase {
    /// Random message loss only; the other cases have the same loss.
    Loss,
    /// All instances of one data centre restart repeatedly.
    Restart,
    /// One region is partitioned from the others for about ten seconds, repeatedly.
    Partition,
}

/// Measures the latency and the traffic of distributing release notes to a fleet.
#[derive(argh::FromArgs)]
struct StudyArgs {
    /// loss, restart or partition; default: all of them
    #[argh(option)]
    case: Option<StudyCase>,

    /// number of instances: 8, 64, 380 or 1000; default: all of them
    #[argh(option)]
    instances: Option<u64>,

    /// policy of peer selection: uniform, centre or ranked; default: all of them
    #[argh(option)]
    chooser: Option<rounds::ChooserKind>,

    /// number of release notes published per run
    #[argh(option, default = "200")]
    notes: u64,

    /// seed of the random numbers
    #[argh(option, default = "1")]
    seed: u64,
}

fn main() {
    let args: StudyArgs = argh::from_env();
    println!(
        "case       instances chooser  p50_ms  p99_ms  max_ms  unreached  bytes/s  member_B/s  far_B/s  calls/s"
    );
    for case in StudyCase::iter().filter(|case| args.case.is_none_or(|selected| selected == *case))
    {
        for instances in [8, 64, 380, 1_000] {
            if args.instances.is_some_and(|selected| selected != instances) {
                continue;
            }
            for chooser in rounds::ChooserKind::iter() {
                if args.chooser.is_none_or(|selected| selected == chooser) {
                    run_case(&args, case, instances, chooser);
                }
            }
        }
    }
}

/// Runs one case and prints its row of the table.
fn run_case(args: &StudyArgs, case: StudyCase, instances: u64, chooser: rounds::ChooserKind) {
    let layout = rounds::FleetLayout::of_size(instances);
    let mut run = rounds::FleetRun::new(layout, chooser, args.seed);
    run.links.loss = LOSS;
    run.publish(1, rounds::base_note(1, 10), true);
    run.run_for(WARM_UP);
    run.meter = rounds::RunMeter::default();
    let begin = run.now();
    let mut published = Vec::new();
    for number in 0..args.notes {
        inject_fault(&mut run, case, number);
        let revision = number + 2;
        run.publish(revision, rounds::change_note(revision), false);
        published.push((revision, run.now()));
        run.run_for(CHANGE_INTERVAL);
    }
    let seconds = run.now().since(begin).as_secs_f64();
    let meter = run.meter.clone();
    run.links.cut_off.clear();
    run.run_for(time::Duration::from_secs(30));
    let mut latencies = Vec::new();
    let mut unreached = 0;
    for (revision, published_at) in published {
        match propagation_latency(&run, revision, published_at) {
            Some(latency) => latencies.push(latency),
            None => unreached += 1,
        }
    }
    latencies.sort_unstable();
    let per_instance_second = |bytes: u64| bytes as f64 / seconds / instances as f64;
    println!(
        "{:<10} {instances:>9} {:<8} {:>6} {:>7} {:>7} {unreached:>10} {:>8.0} {:>11.0} {:>8.0} {:>8.2}",
        case.to_string(),
        chooser.to_string(),
        quantile(&latencies, 0.5).as_millis(),
        quantile(&latencies, 0.99).as_millis(),
        quantile(&latencies, 1.0).as_millis(),
        per_instance_second(meter.spread_bytes + meter.member_bytes),
        per_instance_second(meter.member_bytes),
        per_instance_second(meter.far_bytes),
        meter.service_calls as f64 / seconds,
    );
}

/// Starts and ends the faults of a case, in a cycle of forty release notes.
fn inject_fault(run: &mut rounds::FleetRun, case: StudyCase, number: u64) {
    let centre = run.nodes()[0].entry.data_centre.clone();
    let region = run.nodes()[0].entry.region.clone();
    let step = number % 40;
    let down = RESTART_DOWNTIME
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
            let partitioned = run
                .nodes()
                .iter()
                .filter(|node| node.entry.region == region);
            run.links.cut_off = partitioned.map(|node| node.entry.id).collect();
        }
        StudyCase::Partition if step == 17 => run.links.cut_off.clear(),
        StudyCase::Partition => {}
    }
}

/// Returns the time from the publication of a release note until it was in force on every instance
/// whose last start was before the publication, or `None` if it isn't in force on one of them.
fn propagation_latency(
    run: &rounds::FleetRun,
    revision: u64,
    published_at: clock::Timestamp,
) -> Option<time::Duration> {
    let mut last = time::Duration::ZERO;
    for node in run.nodes() {
        if node.started > published_at {
            continue;
        }
        let in_force_at = node.in_force_at(ids::Revision(revision))?;
        last = last.max(in_force_at.since(published_at));
    }
    Some(last)
}

/// Returns a quantile of sorted values by the nearest-rank method, or zero if there are none.
fn quantile(sorted: &[time::Duration], fraction: f64) -> time::Duration {
    if sorted.is_empty() {
        return time::Duration::ZERO;
    }
    let index = ((sorted.len() as f64 * fraction).ceil() as usize).clamp(1, sorted.len());
    sorted[index - 1]
}
