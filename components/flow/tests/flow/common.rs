//! Fixtures of the tests of model requests.

use std::{sync, time};

/// A flow table with a site of one cell and one owner.
pub struct Site {
    /// Table under test.
    pub table: flow::FlowTable,
    /// Time of the next input.
    pub now: clock::Timestamp,
}

impl Site {
    /// Gives the table one input and returns what it asks for.
    pub fn give(&mut self, input: flow::Input) -> Vec<flow::Output> {
        let mut outputs = Vec::new();
        self.table.handle(self.now, input, &mut outputs);
        outputs
    }

    /// Lets time pass and wakes the table.
    pub fn wake_after(&mut self, span: time::Duration) -> Vec<flow::Output> {
        self.now = self.now + span;
        self.give(flow::Input::Wake)
    }

    /// Grants what a request asked for, from the owner.
    pub fn grant(&mut self, attempt: u32, lease: u64, decode: &str) -> Vec<flow::Output> {
        let placed = place::Message::Placed(placement(attempt, lease, decode));
        self.give(flow::Input::Place(OWNER, placed))
    }

    /// Brings a request until its prefill is done and the transfer has begun.
    pub fn prefilled(&mut self) -> Vec<flow::Output> {
        self.give(flow::Input::Arrived(quote()));
        self.grant(0, 1, "decode-a");
        self.give(flow::Input::Prefilled(
            REQUEST,
            ids::AttemptNumber(0),
            Ok(cache()),
        ))
    }

    /// Brings a request until tokens are generated.
    pub fn decoding(&mut self) -> Vec<flow::Output> {
        self.prefilled();
        self.give(flow::Input::Imported(
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

/// The request of most tests.
pub const REQUEST: ids::RequestId = ids::RequestId(77);

/// Time the owner grants a lease for.
pub const LEASE_DURATION: time::Duration = time::Duration::from_secs(5);

/// Makes a site whose cell belongs to [`OWNER`].
pub fn site() -> Site {
    let mut site = Site {
        table: flow::FlowTable::new(OWN, 1),
        now: clock::Timestamp::from_millis(1_000),
    };
    site.give(flow::Input::View(view(&[OWNER])));
    site.give(flow::Input::State(sync::Arc::new(state())));
    site
}

/// Makes a view in which `owners` may own cells and [`OWN`] stands in another region.
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

/// Makes the state in force: one model, one prefill and two decode engines, one class.
pub fn state() -> note::StateInForce {
    let text = include_str!("../../test_data/one_cell.yaml");
    let note = note::ReleaseNote::from_yaml(text).unwrap();
    note::StateInForce::default().apply(&note).unwrap()
}

/// Makes a short request for a quote.
pub fn quote() -> flow::FlowSpec {
    flow::FlowSpec::builder()
        .request(REQUEST)
        .workspace("coilquote")
        .class("quote")
        .model("quote-7b")
        .prompt_tokens(1_200u32)
        .max_tokens(100u32)
        .build()
}

/// Makes a placement on the prefill engine and `decode`.
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

/// Makes a prefill result that is retained for 800 ms.
pub fn cache() -> border::PrefillResult {
    border::PrefillResult {
        kv_handle: 9,
        prompt_tokens: 1_200,
        cached_tokens: 0,
        retention_ms: 800,
    }
}

/// Makes an error that proves nothing.
pub fn lost() -> border::BorderError {
    border::BorderError::Lost {
        detail: "connection reset".to_owned(),
    }
}

/// Makes an error that proves that the engine has forgotten the work.
pub fn gone() -> border::BorderError {
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
