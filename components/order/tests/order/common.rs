//! Fixtures: a reconciler, its engines and the views it is given.

use std::{net, sync, time};

/// Instance under test.
pub const OWN: ids::InstanceId = ids::InstanceId(1);

/// Longer than any hold-off.
pub const SETTLED: time::Duration = time::Duration::from_secs(60);

/// A reconciler with the time of its next input.
pub struct Owner {
    /// Reconciler under test.
    pub reconciler: order::OrderReconciler,
    /// Time of the next input.
    pub now: clock::Timestamp,
}

impl Owner {
    /// Gives the reconciler one input and returns what it asks for.
    pub fn give(&mut self, input: order::Input) -> Vec<order::Output> {
        let mut outputs = Vec::new();
        self.reconciler.handle(self.now, input, &mut outputs);
        outputs
    }

    /// Lets time pass.
    pub fn pass(&mut self, span: time::Duration) {
        self.now = self.now + span;
    }

    /// Gives the status of an engine.
    pub fn status(&mut self, engine: &str, status: &border::EngineStatus) -> Vec<order::Output> {
        self.give(order::Input::Status(engine.into(), Some(status.clone())))
    }
}

/// Makes the owner of all engines, some time after it became that.
pub fn owner(id: ids::InstanceId) -> Owner {
    let mut owner = Owner {
        reconciler: order::OrderReconciler::new(id, id.0),
        now: clock::Timestamp::from_millis(1_000),
    };
    owner.give(order::Input::View(view(id, 1)));
    owner.give(order::Input::LoadsPerMinute(60));
    owner.give(order::Input::State(sync::Arc::new(state(1, "1"))));
    owner.pass(SETTLED);
    owner
}

/// Makes a view in which `own` is the only instance of the engines' region among `alive` others.
pub fn view(own: ids::InstanceId, alive: u64) -> sync::Arc<member::MemberView> {
    let mut view = member::MemberView {
        own,
        fresh: true,
        ..Default::default()
    };
    view.members
        .insert(own, member(own, "eu-west", member::MemberState::Alive));
    for number in 0..4 {
        let id = ids::InstanceId(100 + number);
        let state = if number < alive {
            member::MemberState::Alive
        } else {
            member::MemberState::Suspect
        };
        view.members.insert(id, member(id, "elsewhere", state));
    }
    if alive > 0 {
        view.members
            .retain(|id, _| id.0 < 100 + alive || *id == own);
    }
    sync::Arc::new(view)
}

/// Makes a state in force with a version of the model.
pub fn state(revision: u64, version: &str) -> note::StateInForce {
    let text = include_str!("../../test_data/three_engines.yaml")
        .replace("revision: 1", &format!("revision: {revision}"))
        .replace("version: \"1\"", &format!("version: \"{version}\""));
    let note = note::ReleaseNote::from_yaml(&text).unwrap();
    note::StateInForce::default().apply(&note).unwrap()
}

/// Makes the status of an engine that has loaded a version of the model, or nothing.
pub fn status(role: note::EngineRole, version: Option<&str>) -> border::EngineStatus {
    border::EngineStatus {
        role,
        loaded: version
            .map(|version| ("quote-7b".into(), version.into()))
            .into_iter()
            .collect(),
        adapters: Vec::new(),
        fence: None,
        last_order: None,
    }
}

/// Returns the orders among `outputs`.
pub fn orders(outputs: &[order::Output]) -> Vec<border::EngineOrder> {
    outputs
        .iter()
        .filter_map(|output| match output {
            order::Output::Order(_, order, _) => Some(order.clone()),
            _ => None,
        })
        .collect()
}

/// Makes the action that loads a version of the model.
pub fn load(version: &str) -> border::OrderAction {
    border::OrderAction::LoadModel("quote-7b".into(), version.into())
}

fn member(id: ids::InstanceId, region: &str, state: member::MemberState) -> member::MemberEntry {
    member::MemberEntry {
        instance: border::InstanceEntry::builder()
            .id(id)
            .address(net::SocketAddr::from(([127, 0, 0, 1], 9_000)))
            .region(region)
            .data_centre("dc-1")
            .build(),
        incarnation: ids::Incarnation(id.0),
        state,
    }
}
