//! Soak test of a site of real processes under injected faults, in series and overlapping.
//!
//! The test checks the answers that callers received and the requests that workers ran: no request
//! of a path without retries ran twice, no caller received a wrong stream or another caller's
//! answer, no request that was answered with 503 ran, no draining server received requests after
//! the drain timeout, few requests reached workers that had crashed several of them, no server got more
//! than the limit that it named, no call ran with a key that was withdrawn or never in force and none was
//! refused with a sound one, no server got a key, no more than two streams hold events of two software versions, also after all
//! processes have ended while one version gives way to the other, callers
//! of processes that reach no worker are served nearly as often as the others, and no request is still
//! running at the end.
//!
//! Environment variables:
//! - `SOAK_SEEDS=1..50` runs the seeds 1 to 49 instead of the default ones, for example in
//!   `SOAK_SEEDS=1..50 cargo test --test node_soak -- --nocapture`.
//! - `SOAK_PROCESSES=40` sets the number of processes of these seeds.
//! - `SOAK_OTHER_PROGRAM=PATH` makes processes with an odd index (1, 3, ...) run the binary at this
//!   path at every start and restart. With a build of another version, the site runs two versions
//!   at once.

#[path = "../../platform/tests/common/mod.rs"]
mod common;

mod caller_load;
mod changing_keys;
mod limited_servers;
mod node_process;
mod process_cuts;
mod process_fault;
mod replaced_version;
mod soak_run;
mod taken_up_streams;
mod violation_checks;
mod worker_faults;

use std::{ops, sync, time};

use common::fault_proxy;

/// Runs by default. A seed that has ever failed stays here, with a line on the cause.
const DEFAULT_RUNS: [SoakSeed; 3] = [
    SoakSeed::new(1, DEFAULT_PROCESSES),
    SoakSeed::new(2, DEFAULT_PROCESSES),
    // The fake engine treated an order as a generation, which was still running at the end. The run
    // has enough processes to forward state updates.
    SoakSeed::new(600, 40),
];

/// Number of processes of the site by default.
const DEFAULT_PROCESSES: usize = 4;

/// Seed of a run and its number of processes.
#[derive(Clone, Copy)]
struct SoakSeed {
    seed: u64,
    processes: usize,
}

impl SoakSeed {
    const fn new(seed: u64, processes: usize) -> Self {
        Self { seed, processes }
    }
}

/// Duration of the fault injection.
const FAULT_DURATION: time::Duration = time::Duration::from_secs(8);

/// Time within which all requests end once the callers have stopped.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(4);

fn process_count() -> usize {
    std::env::var("SOAK_PROCESSES").map_or(DEFAULT_PROCESSES, |text| {
        text.parse().expect("SOAK_PROCESSES is a number")
    })
}

fn runs() -> Vec<SoakSeed> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return DEFAULT_RUNS.to_vec();
    };
    let (from, to) = text
        .split_once("..")
        .expect("SOAK_SEEDS has the form FROM..TO");
    let range: ops::Range<u64> =
        from.parse().expect("FROM is a number")..to.parse().expect("TO is a number");
    range
        .map(|seed| SoakSeed::new(seed, process_count()))
        .collect()
}

/// Runs the soak with a seed and returns the violations, the number of requests answered with 200
/// and the number of requests sent.
async fn run_soak(run: SoakSeed) -> (Vec<String>, usize, usize) {
    let mut run = soak_run::SoakRun::start(run.seed, run.processes).await;
    let stop = sync::Arc::new(sync::atomic::AtomicBool::new(false));
    let callers = run.start_callers(&stop);
    let end = time::Instant::now() + FAULT_DURATION;
    while time::Instant::now() < end {
        run.inject_fault().await;
    }
    for proxy in &run.proxies {
        proxy.set_mode(fault_proxy::ProxyMode::Pass);
    }
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    stop.store(true, sync::atomic::Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("no caller panicked");
    }
    tokio::time::sleep(SETTLE_TIMEOUT).await;
    let mut violations = run.violations();
    for worker in run.site.servers.iter().chain(&run.site.decodes) {
        for (id, behaviour) in worker.running() {
            violations.push(format!(
                "{} is still running {id} ({behaviour:?})",
                worker.id
            ));
        }
    }
    // Processes of an earlier release take the memory of young engines for a proof.
    if !node_process::runs_other(1) {
        violations.extend(run.replace_version().await);
    }
    let records = run.records.lock().expect("no caller panicked");
    let answered = records
        .iter()
        .filter(|record| {
            record
                .answer
                .as_ref()
                .is_some_and(|answer| answer.status == 200)
        })
        .count();
    (violations, answered, records.len())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn processes_uphold_guarantees_under_injected_faults() {
    for run in runs() {
        let seed = run.seed;
        let (violations, answered, sent) = run_soak(run).await;

        println!("seed {seed}: {answered} of {sent} answered, broken: {violations:?}");
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        assert!(answered * 2 > sent, "seed {seed}: {answered} of {sent}");
    }
}
