//! A small message loop that drives several keepers by hand, with faults.

#![expect(dead_code, reason = "each test file uses a part of it")]

pub mod fleet;

use std::{sync, time};

/// Service that all test calls go to.
pub const SERVICE: &str = "orders";

/// Returns an entry of the platform's list.
pub fn instance(id: u64) -> border::InstanceEntry {
    border::InstanceEntry::builder()
        .id(ids::InstanceId(id))
        .address(([127, 0, 0, 1], 1))
        .region("west")
        .data_centre("west-1")
        .build()
}

/// Returns a view of instances, all alive.
pub fn view(own: u64, members: impl IntoIterator<Item = u64>) -> member::MemberView {
    let members = members
        .into_iter()
        .map(|id| {
            let entry = member::MemberEntry {
                instance: instance(id),
                incarnation: ids::Incarnation(1),
                state: member::MemberState::Alive,
            };
            (ids::InstanceId(id), entry)
        })
        .collect();
    member::MemberView {
        own: ids::InstanceId(own),
        version: 1,
        fresh: true,
        listed: true,
        partitioned: false,
        members,
    }
}

/// Returns a backend server of the service.
pub fn server(name: &str) -> note::ServerEntry {
    note::ServerEntry {
        name: name.into(),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 2).into(),
        region: "west".into(),
        data_centre: "west-1".into(),
        concurrency: 100,
        leaving: false,
    }
}

/// Returns a state with these servers.
pub fn state(
    servers: impl IntoIterator<Item = note::ServerEntry>,
) -> sync::Arc<note::StateInForce> {
    let mut state = note::StateInForce::default();
    for server in servers {
        state.servers.insert(server.name.clone(), server);
    }
    sync::Arc::new(state)
}

/// Returns an idempotent call.
pub fn lookup(request: u128) -> call::CallSpec {
    call::CallSpec::builder()
        .request(ids::RequestId(request))
        .workspace("coilquote")
        .class("lookup")
        .service(SERVICE)
        .idempotent(true)
        .fingerprint(7_u128)
        .priority(0)
        .time_left(time::Duration::from_secs(2))
        .build()
}

/// Returns a non-idempotent call without a key.
pub fn order(request: u128) -> call::CallSpec {
    call::CallSpec {
        idempotent: false,
        ..lookup(request)
    }
}

/// Returns a non-idempotent call under a key.
pub fn keyed(request: u128, key: u128) -> call::CallSpec {
    call::CallSpec {
        key: Some(call::ClaimKey(key)),
        ..order(request)
    }
}

/// Returns a keeper that knows itself and these servers.
pub fn keeper(servers: impl IntoIterator<Item = note::ServerEntry>) -> call::CallManager {
    let mut keeper = call::CallManager::new(ids::InstanceId(1), 1);
    let view = sync::Arc::new(view(1, [1]));
    give(&mut keeper, 0, call::Input::View(view));
    give(&mut keeper, 0, call::Input::State(state(servers)));
    keeper
}

/// Gives a keeper an input at a time in milliseconds and returns what it asks for.
pub fn give(keeper: &mut call::CallManager, millis: u64, input: call::Input) -> Vec<call::Output> {
    let mut outputs = Vec::new();
    keeper.handle(clock::Timestamp::from_millis(millis), input, &mut outputs);
    outputs
}

/// Returns the attempts among outputs, by request, number and server.
pub fn attempts(outputs: &[call::Output]) -> Vec<(u128, u32, String)> {
    outputs
        .iter()
        .filter_map(|output| match output {
            call::Output::Attempt {
                request,
                attempt,
                server,
                ..
            } => Some((request.0, attempt.0, server.to_string())),
            _ => None,
        })
        .collect()
}

/// Returns the outcomes of failed calls among outputs.
pub fn failures(
    outputs: &[call::Output],
) -> Vec<(
    u128,
    border::Outcome,
    call::CallFailure,
    Option<time::Duration>,
)> {
    outputs
        .iter()
        .filter_map(|output| match output {
            call::Output::Finish(
                request,
                call::CallOutcome::Failed {
                    outcome,
                    failure,
                    retry_after,
                },
            ) => Some((request.0, *outcome, *failure, *retry_after)),
            _ => None,
        })
        .collect()
}

/// Returns an attempt's end with an error that doesn't prove anything.
pub fn lost() -> call::AttemptResult {
    call::AttemptResult::Failed(border::BorderError::Lost {
        detail: "test".into(),
    })
}

/// Returns an attempt's end with an error that proves that nothing left.
pub fn not_sent() -> call::AttemptResult {
    call::AttemptResult::Failed(border::BorderError::NotSent {
        detail: "test".into(),
    })
}
