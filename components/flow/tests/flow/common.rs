//! Fixtures: a flow table of one entry instance, one cell and its owner.

use std::{sync, time};

/// A flow table under test and the simulated time.
pub struct TableFixture {
    /// Table under test.
    pub table: flow::FlowTable,
    /// Time of the next input.
    pub now: clock::Timestamp,
}

impl TableFixture {
    /// Passes an input to the table and returns its outputs.
    pub fn handle(&mut self, input: flow::Input) -> Vec<flow::Output> {
        let mut outputs = Vec::new();
        self.table.handle(self.now, input, &mut outputs);
        outputs
    }

    /// Advances the time by `duration` and sends a wake input.
    pub fn wake_after(&mut self, duration: time::Duration) -> Vec<flow::Output> {
        self.now = self.now + duration;
        self.handle(flow::Input::Wake)
    }

    /// Sends a placement from the owner.
    pub fn grant(&mut self, attempt: u32, lease: u64, decode: &str) -> Vec<flow::Output> {
        let placed = place::Message::Placed(placement(attempt, lease, decode));
        self.handle(flow::Input::Place(OWNER, placed))
    }

    /// Advances a request until prefill is done and the transfer has started.
    pub fn advance_to_transfer(&mut self) -> Vec<flow::Output> {
        self.handle(flow::Input::Arrived(request_spec()));
        self.grant(0, 1, "decode-a");
        self.handle(flow::Input::Prefilled(
            REQUEST,
            ids::AttemptNumber(0),
            Ok(prefill_result()),
        ))
    }

    /// Advances a request until decode has started.
    pub fn advance_to_decode(&mut self) -> Vec<flow::Output> {
        self.advance_to_transfer();
        self.handle(flow::Input::Imported(
            REQUEST,
            ids::AttemptNumber(0),
            Ok(()),
        ))
    }
}

/// Instance under test.
pub const OWN: ids::InstanceId = ids::InstanceId(1);

/// Instance that owns the cell.
pub const OWNER: ids::InstanceId = ids::InstanceId(2);

/// Request that most tests use.
pub const REQUEST: ids::RequestId = ids::RequestId(77);

/// Duration of the leases that the owner grants.
pub const LEASE_DURATION: time::Duration = time::Duration::from_secs(5);

/// Creates a table whose view has [`OWNER`] as the owner of the cell.
pub fn fixture() -> TableFixture {
    let mut fixture = TableFixture {
        table: flow::FlowTable::new(OWN, 1),
        now: clock::Timestamp::from_millis(1_000),
    };
    fixture.handle(flow::Input::View(view(&[OWNER])));
    fixture.handle(flow::Input::State(sync::Arc::new(state())));
    fixture
}

/// Creates a view in which `owners` may own the cell and [`OWN`] is in another region.
pub fn view(owners: &[ids::InstanceId]) -> sync::Arc<member::MemberView> {
    let mut view = member::MemberView {
        own: OWN,
        fresh: true,
        ..Default::default()
    };
    view.members.insert(OWN, member(OWN, "other"));
    for owner in owners {
        view.members.insert(*owner, member(*owner, "eu-west"));
    }
    sync::Arc::new(view)
}

/// Creates the state in force: one model, one prefill engine, two decode engines, one class.
pub fn state() -> note::StateInForce {
    let text = include_str!("../../test_data/one_cell.yaml");
    let note = note::ReleaseNote::from_yaml(text).unwrap();
    note::StateInForce::default().apply(&note).unwrap()
}

/// Creates a request of the class `quote`.
pub fn request_spec() -> flow::FlowSpec {
    flow::FlowSpec::builder()
        .request(REQUEST)
        .workspace("coilquote")
        .class("quote")
        .model("quote-7b")
        .prompt_tokens(1_200u32)
        .max_tokens(100u32)
        .build()
}

/// Creates a placement on the prefill engine and the decode engine `decode`.
pub fn placement(attempt: u32, lease: u64, decode: &str) -> place::Placement {
    place::Placement::builder()
        .request(REQUEST)
        .attempt(ids::AttemptNumber(attempt))
        .lease(ids::LeaseId {
            owner: OWNER,
            term: 0,
            sequence: lease,
        })
        .prefill("prefill-a")
        .decode(decode)
        .kv_pieces(1u32)
        .start_in(time::Duration::ZERO)
        .expires_in(LEASE_DURATION)
        .build()
}

/// Creates a prefill result that is retained for 800 ms.
pub fn prefill_result() -> border::PrefillResult {
    border::PrefillResult {
        kv_handle: 9,
        prompt_tokens: 1_200,
        cached_tokens: 0,
        retention_ms: 800,
    }
}

/// Creates an error that does not prove whether the request ran.
pub fn lost_error() -> border::BorderError {
    border::BorderError::Lost {
        detail: "connection reset".to_owned(),
    }
}

/// Creates an error that proves that the engine no longer holds the work.
pub fn gone_error() -> border::BorderError {
    border::BorderError::Gone {
        detail: "unknown request".to_owned(),
    }
}

/// Returns the cancellations among `outputs`.
pub fn cancels(outputs: &[flow::Output]) -> Vec<(String, u32)> {
    outputs
        .iter()
        .filter_map(|output| match output {
            flow::Output::Cancel(engine, _, attempt) => Some((engine.to_string(), attempt.0)),
            _ => None,
        })
        .collect()
}

/// Returns the messages to owners among `outputs`.
pub fn messages(outputs: &[flow::Output]) -> Vec<(ids::InstanceId, place::Message)> {
    outputs
        .iter()
        .filter_map(|output| match output {
            flow::Output::Send(to, message) => Some((*to, message.clone())),
            _ => None,
        })
        .collect()
}

/// Returns the phases of the lease updates among `outputs`.
pub fn phases(outputs: &[flow::Output]) -> Vec<place::LeasePhase> {
    messages(outputs)
        .into_iter()
        .filter_map(|(_, message)| match message {
            place::Message::Updates(updates) => Some(updates),
            _ => None,
        })
        .flatten()
        .map(|update| update.phase)
        .collect()
}

/// Returns the outcome among `outputs`.
pub fn outcome(outputs: &[flow::Output]) -> Option<flow::FlowOutcome> {
    outputs.iter().find_map(|output| match output {
        flow::Output::Finish(_, outcome) => Some(outcome.clone()),
        _ => None,
    })
}

fn member(id: ids::InstanceId, region: &str) -> member::MemberEntry {
    member::MemberEntry {
        instance: border::InstanceEntry::builder()
            .id(id)
            .address(std::net::SocketAddr::from(([127, 0, 0, 1], 9_000)))
            .region(region)
            .data_centre("dc-1")
            .build(),
        incarnation: ids::Incarnation(1),
        state: member::MemberState::Alive,
    }
}
