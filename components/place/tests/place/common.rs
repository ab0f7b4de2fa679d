//! Fixtures: an owner of one cell and the messages that an entry sends to it.

use std::{sync, time};

/// Instance that owns the cell.
pub const OWNER: ids::InstanceId = ids::InstanceId(1);

/// Entry instance that requests placements.
pub const ENTRY: ids::InstanceId = ids::InstanceId(2);

/// Decode slots of each engine.
pub const SLOTS: u32 = 4;

/// KV cache pieces of each engine.
pub const PIECES: u32 = 8;

/// An owner under test and the simulated time.
pub struct OwnerFixture {
    /// Owner under test.
    pub owner: place::CellOwner,
    /// Time of the next input.
    pub now: clock::Timestamp,
}

/// Creates an engine with the given name and role.
pub fn engine(name: &str, role: note::EngineRole) -> note::EngineEntry {
    note::EngineEntry::builder()
        .name(name)
        .address(([10, 0, 0, 1], 7_000))
        .region("eu-west")
        .data_centre("dc-1")
        .role(role)
        .models(vec!["quote-7b".into()])
        .decode_slots(SLOTS)
        .kv_pieces(PIECES)
        .prefill_tokens_per_second(20_000_u32)
        .link_tokens_per_second(200_000_u32)
        .full_batch_token_ms(40_u32)
        .retention_ms(800_u32)
        .build()
}

/// Creates a state with one prefill engine, two decode engines and one request class.
pub fn state() -> note::StateInForce {
    let mut state = note::StateInForce::default();
    for (name, role) in [
        ("prefill-a", note::EngineRole::Prefill),
        ("decode-a", note::EngineRole::Decode),
        ("decode-b", note::EngineRole::Decode),
    ] {
        state.engines.insert(name.into(), engine(name, role));
    }
    let class = note::RequestClass {
        name: "quote".into(),
        target: note::ClassTarget::Generation(note::GenerationClass {
            models: vec!["quote-7b".into()],
            first_token_ms: 710,
            token_pace_ms: 55,
            priority: 0,
            expected_output_tokens: 60,
            output_limit_tokens: 200,
            can_wait_ms: 0,
        }),
    };
    state.classes.insert("quote".into(), class);
    state
}

/// Creates a view of the owner, which is alive, and the entry in the given state.
pub fn view(entry: member::MemberState) -> member::MemberView {
    let mut view = member::MemberView {
        own: OWNER,
        fresh: true,
        ..member::MemberView::default()
    };
    // The entry is in another region, so that it never owns the cell.
    for (id, region, state) in [
        (OWNER, "eu-west", member::MemberState::Alive),
        (ENTRY, "eu-north", entry),
    ] {
        let instance = border::InstanceEntry::builder()
            .id(id)
            .address(([10, 0, 0, 9], 9_000))
            .region(region)
            .data_centre("dc-1")
            .build();
        let member = member::MemberEntry {
            instance,
            incarnation: ids::Incarnation(1),
            state,
        };
        view.members.insert(id, member);
    }
    view
}

/// Creates an owner that has received the state and the view only.
pub fn new_owner() -> OwnerFixture {
    let mut fixture = OwnerFixture {
        owner: place::CellOwner::new(OWNER, 7),
        now: clock::Timestamp::from_millis(1_000),
    };
    fixture.handle(place::Input::State(sync::Arc::new(state())));
    fixture.handle(place::Input::View(sync::Arc::new(view(
        member::MemberState::Alive,
    ))));
    fixture
}

/// Creates an owner that has completed lease recovery and holds no leases.
pub fn idle_owner() -> OwnerFixture {
    let mut fixture = new_owner();
    for name in ["prefill-a", "decode-a", "decode-b"] {
        fixture.handle(place::Input::Running(name.into(), Some(Vec::new())));
    }
    for instance in [OWNER, ENTRY] {
        let claims = place::Message::Claims(fixture.cell(), Vec::new(), true);
        fixture.handle(place::Input::Message(instance, claims));
    }
    fixture
}

/// Returns the key of a request's first attempt.
pub fn work(request: u128) -> place::WorkKey {
    place::WorkKey {
        request: ids::RequestId(request),
        attempt: ids::AttemptNumber(0),
    }
}

/// Returns the placements among the outputs.
pub fn placements(outputs: &[place::Output]) -> Vec<place::Placement> {
    outputs
        .iter()
        .filter_map(|output| match output {
            place::Output::Send(_, place::Message::Placed(placement)) => Some(placement.clone()),
            _ => None,
        })
        .collect()
}

/// Returns the refused requests among the outputs with the refusal reasons.
pub fn refusals(outputs: &[place::Output]) -> Vec<(ids::RequestId, place::RefusalReason)> {
    outputs
        .iter()
        .filter_map(|output| match output {
            place::Output::Send(_, place::Message::Refused(refusal)) => {
                Some((refusal.request, refusal.reason))
            }
            _ => None,
        })
        .collect()
}

/// Returns the cancelled requests among the outputs with the engine names.
pub fn cancels(outputs: &[place::Output]) -> Vec<(String, ids::RequestId)> {
    outputs
        .iter()
        .filter_map(|output| match output {
            place::Output::Cancel(engine, request, _) => Some((engine.to_string(), *request)),
            _ => None,
        })
        .collect()
}

/// Creates an entry of a running list for a request in decode.
pub fn running(request: u128) -> border::RunningEntry {
    border::RunningEntry {
        request: ids::RequestId(request),
        attempt: ids::AttemptNumber(0),
        entry: ENTRY,
        phase: border::RunningPhase::Decode,
        kv_pieces: 1,
        generated_tokens: 5,
        age_ms: 500,
    }
}

impl OwnerFixture {
    /// Returns the id of the only cell.
    pub fn cell(&self) -> ids::CellId {
        *self.owner.owned().keys().next().expect("no cell is owned")
    }

    /// Returns the owner's state of the cell.
    pub fn cell_state(&self) -> &place::CellState {
        &self
            .owner
            .planner(self.cell())
            .expect("cell has no planner")
            .cell_state
    }

    /// Passes an input to the owner and returns its outputs.
    pub fn handle(&mut self, input: place::Input) -> Vec<place::Output> {
        let mut outputs = Vec::new();
        self.owner.handle(self.now, input, &mut outputs);
        outputs
    }

    /// Advances the time by `millis`, with a wake input at each time that the owner requests.
    pub fn advance(&mut self, millis: u64) -> Vec<place::Output> {
        let until = self.now + time::Duration::from_millis(millis);
        let mut outputs = Vec::new();
        while self.owner.next_wake() <= until {
            self.now = self.now.max(self.owner.next_wake());
            outputs.extend(self.handle(place::Input::Wake));
        }
        self.now = until;
        outputs
    }

    /// Creates a placement request of the entry.
    pub fn placement_request(&self, request: u128, tokens: u32) -> place::PlacementRequest {
        place::PlacementRequest::builder()
            .cell(self.cell())
            .request(ids::RequestId(request))
            .attempt(ids::AttemptNumber(0))
            .class("quote")
            .workspace("coilquote")
            .model("quote-7b")
            .prompt_tokens(tokens)
            .max_tokens(200_u32)
            .first_token_within(time::Duration::from_millis(700))
            .build()
    }

    /// Sends a placement request from the entry.
    pub fn place(&mut self, request: u128, tokens: u32) -> Vec<place::Output> {
        let placement_request = self.placement_request(request, tokens);
        self.handle(place::Input::Message(
            ENTRY,
            place::Message::Request(placement_request),
        ))
    }

    /// Sends a lease update from the entry.
    pub fn update(
        &mut self,
        lease: ids::LeaseId,
        request: ids::RequestId,
        phase: place::LeasePhase,
    ) -> Vec<place::Output> {
        let update = place::LeaseUpdate {
            lease,
            request,
            phase,
            generated_tokens: 10,
        };
        let message = place::Message::Updates(vec![update]);
        self.handle(place::Input::Message(ENTRY, message))
    }
}
