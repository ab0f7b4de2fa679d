//! Benchmark of the calls that call managers handle per second on one core.

use std::{collections, sync};

#[path = "../tests/common/mod.rs"]
mod common;

/// Calls per iteration.
const CALLS: u128 = 1_000;

/// Number of workspaces; it exceeds the calls per iteration, so each call has its own workspace.
const WORKSPACES: u128 = 9_400;

/// Time at which the calls arrive, after all instances have been up for longer than the
/// retention, in milliseconds.
const START_MS: u64 = 400_000;

fn main() {
    divan::main();
}

/// Servers of the called service.
const SERVERS: u32 = 20;

/// Servers of other services.
const OTHER_SERVERS: u32 = 1_000;

fn state() -> sync::Arc<note::StateInForce> {
    let servers = (0..SERVERS).map(|number| common::server(&format!("s{number}")));
    let others = (0..OTHER_SERVERS).map(|number| note::ServerEntry {
        service: format!("service-{}", number / SERVERS).as_str().into(),
        ..common::server(&format!("other-{number}"))
    });
    common::state(servers.chain(others))
}

fn managers(size: u64) -> Vec<call::CallManager> {
    (1..=size)
        .map(|id| {
            let mut manager = call::CallManager::new(ids::InstanceId(id), id);
            let view = sync::Arc::new(common::view(id, 1..=size));
            common::handle_input(&mut manager, 0, call::Input::View(view));
            common::handle_input(&mut manager, 0, call::Input::State(state()));
            manager
        })
        .collect()
}

fn calls(make: impl Fn(u128) -> call::CallSpec) -> Vec<call::CallSpec> {
    (0..CALLS)
        .map(|request| call::CallSpec {
            workspace: format!("workspace-{}", request % WORKSPACES)
                .as_str()
                .into(),
            ..make(request)
        })
        .collect()
}

/// Runs calls to completion, one after the other, and returns the number of answered calls.
fn run(mut managers: Vec<call::CallManager>, calls: Vec<call::CallSpec>) -> usize {
    let mut inputs = collections::VecDeque::new();
    let mut answered = 0;
    for spec in calls {
        inputs.push_back((1, call::Input::Arrived(spec)));
        while let Some((to, input)) = inputs.pop_front() {
            for output in common::handle_input(&mut managers[to - 1], START_MS, input) {
                match output {
                    call::Output::Send(peer, message) => {
                        let from = ids::InstanceId(to as u64);
                        inputs.push_back((peer.0 as usize, call::Input::Message(from, message)));
                    }
                    call::Output::Attempt {
                        request, attempt, ..
                    } => {
                        let result = call::AttemptResult::Replied(200);
                        inputs.push_back((to, call::Input::AttemptEnded(request, attempt, result)));
                    }
                    call::Output::Finish(..) => answered += 1,
                }
            }
        }
    }
    answered
}

/// Idempotent calls at one instance.
#[divan::bench(counters = [divan::counter::ItemsCount::new(CALLS as usize)])]
fn idempotent_calls(bencher: divan::Bencher<'_, '_>) {
    bencher
        .with_inputs(|| (managers(1), calls(common::idempotent_call)))
        .bench_values(|(managers, calls)| run(managers, calls));
}

/// Calls with idempotency keys, including the work of all witnesses of each key.
#[divan::bench(args = [1, 3, 7, 54], counters = [divan::counter::ItemsCount::new(CALLS as usize)])]
fn keyed_calls(bencher: divan::Bencher<'_, '_>, size: u64) {
    bencher
        .with_inputs(|| {
            let calls = calls(|request| common::keyed_call(request, request));
            (managers(size), calls)
        })
        .bench_values(|(managers, calls)| run(managers, calls));
}

/// Idempotent calls that wait in a queue of 1,000 calls.
#[divan::bench(counters = [divan::counter::ItemsCount::new(CALLS as usize)])]
fn queued_calls(bencher: divan::Bencher<'_, '_>) {
    bencher
        .with_inputs(|| {
            let mut managers = managers(1);
            let empty = common::state([]);
            common::handle_input(&mut managers[0], START_MS, call::Input::State(empty));
            let server = note::ServerEntry {
                concurrency: 1,
                ..common::server("s1")
            };
            let single = common::state([server]);
            common::handle_input(&mut managers[0], START_MS, call::Input::State(single));
            (managers, calls(common::idempotent_call))
        })
        .bench_values(|(mut managers, calls)| queue_and_serve(&mut managers[0], calls));
}

fn queue_and_serve(manager: &mut call::CallManager, calls: Vec<call::CallSpec>) -> usize {
    let mut in_flight = collections::VecDeque::new();
    for spec in calls {
        let outputs = common::handle_input(manager, START_MS, call::Input::Arrived(spec));
        in_flight.extend(common::attempts(&outputs));
    }
    let mut served = 0;
    while let Some((request, attempt, _)) = in_flight.pop_front() {
        let end = call::Input::AttemptEnded(
            ids::RequestId(request),
            ids::AttemptNumber(attempt),
            call::AttemptResult::Replied(200),
        );
        let outputs = common::handle_input(manager, START_MS + 1, end);
        in_flight.extend(common::attempts(&outputs));
        served += 1;
    }
    served
}
