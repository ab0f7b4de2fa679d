//! Fixtures: an owner, its cell and the messages of entries.

use std::{sync, time};

/// The instance that owns the cell.
pub const OWNER: ids::InstanceId = ids::InstanceId(1);

/// An instance that asks for placements.
pub const ENTRY: ids::InstanceId = ids::InstanceId(2);

/// Decode slots of each engine.
pub const SLOTS: u32 = 4;

/// Pieces of memory of each engine.
pub const PIECES: u32 = 8;

/// An owner with the time.
pub struct Site {
    /// The owner.
    pub owner: place::CellOwner,
    /// The time.
    pub now: clock::Timestamp,
}

/// Makes an engine of a role.
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

/// Makes a state with one prefill engine, two decode engines and two workspaces.
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

/// Makes a view of the owner and an entry in the given state.
pub fn view(entry: member::MemberState) -> member::MemberView {
    let mut view = member::MemberView {
        own: OWNER,
        fresh: true,
        ..member::MemberView::default()
    };
    // The entry stands in another region, so that it never owns the cell.
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

/// Makes an owner that has the state and the view and has heard nothing else.
pub fn new_owner() -> Site {
    let mut site = Site {
        owner: place::CellOwner::new(OWNER, 7),
        now: clock::Timestamp::from_millis(1_000),
    };
    site.give(place::Input::State(sync::Arc::new(state())));
    site.give(place::Input::View(sync::Arc::new(view(
        member::MemberState::Alive,
    ))));
    site
}

/// Makes an owner that knows that nothing is held.
pub fn idle_owner() -> Site {
    let mut site = new_owner();
    for name in ["prefill-a", "decode-a", "decode-b"] {
        site.give(place::Input::Running(name.into(), Some(Vec::new())));
    }
    for instance in [OWNER, ENTRY] {
        let claims = place::Message::Claims(site.cell(), Vec::new(), true);
        site.give(place::Input::Message(instance, claims));
    }
    site
}

/// Makes the number of a request's first attempt.
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

/// Returns the refused requests among the outputs, with the reasons.
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

/// Returns the cancelled works among the outputs, with the engines.
pub fn cancels(outputs: &[place::Output]) -> Vec<(String, ids::RequestId)> {
    outputs
        .iter()
        .filter_map(|output| match output {
            place::Output::Cancel(engine, request, _) => Some((engine.to_string(), *request)),
            _ => None,
        })
        .collect()
}

/// Makes an entry of a running list.
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

impl Site {
    /// Returns the one cell.
    pub fn cell(&self) -> ids::CellId {
        *self.owner.owned().keys().next().expect("one cell is owned")
    }

    /// Returns what is counted of the cell.
    pub fn cell_state(&self) -> &place::CellBook {
        &self
            .owner
            .planner(self.cell())
            .expect("it is owned")
            .cell_state
    }

    /// Gives an input; returns what the owner asks for.
    pub fn give(&mut self, input: place::Input) -> Vec<place::Output> {
        let mut outputs = Vec::new();
        self.owner.handle(self.now, input, &mut outputs);
        outputs
    }

    /// Lets time pass, waking the owner whenever it wants.
    pub fn pass(&mut self, millis: u64) -> Vec<place::Output> {
        let until = self.now + time::Duration::from_millis(millis);
        let mut outputs = Vec::new();
        while self.owner.next_wake() <= until {
            self.now = self.now.max(self.owner.next_wake());
            outputs.extend(self.give(place::Input::Wake));
        }
        self.now = until;
        outputs
    }

    /// Makes an ask of the entry.
    pub fn ask(&self, request: u128, tokens: u32) -> place::PlaceAsk {
        place::PlaceAsk::builder()
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

    /// Asks for a placement.
    pub fn place(&mut self, request: u128, tokens: u32) -> Vec<place::Output> {
        let ask = self.ask(request, tokens);
        self.give(place::Input::Message(ENTRY, place::Message::Ask(ask)))
    }

    /// Sends news of a lease.
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
        self.give(place::Input::Message(ENTRY, message))
    }
}
