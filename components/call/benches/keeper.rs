//! Measures the calls that keepers handle in a second on one core.

use std::{collections, sync};

#[path = "../tests/common/mod.rs"]
mod common;

/// Calls in one round.
const CALLS: u128 = 1_000;

/// Workspaces that take turns.
const WORKSPACES: u128 = 9_400;

/// Time at which the calls arrive, when all keepers have long been up, in milliseconds.
const START_MS: u64 = 400_000;

fn main() {
    divan::main();
}

/// Servers of the service that is called.
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

fn keepers(size: u64) -> Vec<call::CallManager> {
    (1..=size)
        .map(|id| {
            let mut keeper = call::CallManager::new(ids::InstanceId(id), id);
            let view = sync::Arc::new(common::view(id, 1..=size));
            common::give(&mut keeper, 0, call::Input::View(view));
            common::give(&mut keeper, 0, call::Input::State(state()));
            keeper
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

/// Carries calls to their end, one after the other.
fn run(mut keepers: Vec<call::CallManager>, calls: Vec<call::CallSpec>) -> usize {
    let mut inputs = collections::VecDeque::new();
    let mut answered = 0;
    for spec in calls {
        inputs.push_back((1, call::Input::Arrived(spec)));
        while let Some((to, input)) = inputs.pop_front() {
            for output in common::give(&mut keepers[to - 1], START_MS, input) {
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
        .with_inputs(|| (keepers(1), calls(common::lookup)))
        .bench_values(|(keepers, calls)| run(keepers, calls));
}

/// Keyed calls, with the work of all of a key's witnesses.
#[divan::bench(args = [1, 3, 7, 54], counters = [divan::counter::ItemsCount::new(CALLS as usize)])]
fn keyed_calls(bencher: divan::Bencher<'_, '_>, size: u64) {
    bencher
        .with_inputs(|| {
            let calls = calls(|request| common::keyed(request, request));
            (keepers(size), calls)
        })
        .bench_values(|(keepers, calls)| run(keepers, calls));
}

/// Idempotent calls that wait in a queue of a thousand.
#[divan::bench(counters = [divan::counter::ItemsCount::new(CALLS as usize)])]
fn queued_calls(bencher: divan::Bencher<'_, '_>) {
    bencher
        .with_inputs(|| {
            let mut keepers = keepers(1);
            let held = common::state([]);
            common::give(&mut keepers[0], START_MS, call::Input::State(held));
            let server = note::ServerEntry {
                concurrency: 1,
                ..common::server("s1")
            };
            let narrow = common::state([server]);
            common::give(&mut keepers[0], START_MS, call::Input::State(narrow));
            (keepers, calls(common::lookup))
        })
        .bench_values(|(mut keepers, calls)| queue_and_serve(&mut keepers[0], calls));
}

fn queue_and_serve(keeper: &mut call::CallManager, calls: Vec<call::CallSpec>) -> usize {
    let mut open = collections::VecDeque::new();
    for spec in calls {
        let outputs = common::give(keeper, START_MS, call::Input::Arrived(spec));
        open.extend(common::attempts(&outputs));
    }
    let mut served = 0;
    while let Some((request, attempt, _)) = open.pop_front() {
        let end = call::Input::AttemptEnded(
            ids::RequestId(request),
            ids::AttemptNumber(attempt),
            call::AttemptResult::Replied(200),
        );
        let outputs = common::give(keeper, START_MS + 1, end);
        open.extend(common::attempts(&outputs));
        served += 1;
    }
    served
}
