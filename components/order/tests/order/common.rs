//! Fixtures: a reconciler, its engines and the membership views that it receives.

use std::{net, sync, time};

/// Instance under test.
pub const OWN: ids::InstanceId = ids::InstanceId(1);

/// Time after which the hold-off of every engine has passed.
pub const SETTLE_TIME: time::Duration = time::Duration::from_secs(60);

/// Reconciler with the time of its next input.
pub struct OwnerFixture {
    /// Reconciler under test.
    pub reconciler: order::OrderReconciler,
    /// Time of the next input.
    pub now: clock::Timestamp,
}

impl OwnerFixture {
    /// Handles one input and returns the outputs.
    pub fn handle(&mut self, input: order::Input) -> Vec<order::Output> {
        let mut outputs = Vec::new();
        self.reconciler.handle(self.now, input, &mut outputs);
        outputs
    }

    /// Advances the time.
    pub fn advance(&mut self, duration: time::Duration) {
        self.now = self.now + duration;
    }

    /// Handles the status of an engine and returns the outputs.
    pub fn handle_status(
        &mut self,
        engine: &str,
        status: &border::EngineStatus,
    ) -> Vec<order::Output> {
        self.handle(order::Input::Status(engine.into(), Some(status.clone())))
    }
}

/// Returns the owner of all engines after its hold-off has passed.
pub fn owner(id: ids::InstanceId) -> OwnerFixture {
    let mut owner = OwnerFixture {
        reconciler: order::OrderReconciler::new(id, id.0),
        now: clock::Timestamp::from_millis(1_000),
    };
    owner.handle(order::Input::View(view(id, 1)));
    owner.handle(order::Input::LoadsPerMinute(60));
    owner.handle(order::Input::State(sync::Arc::new(state(1, "1"))));
    owner.advance(SETTLE_TIME);
    owner
}

/// Returns a view in which `own` is the only instance of the engines' region.
///
/// With `alive` above zero the view has that many other instances, all alive; with zero it has four
/// other instances, all suspect.
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

/// Returns a state in force with a version of the model.
pub fn state(revision: u64, version: &str) -> note::StateInForce {
    let text = include_str!("../../test_data/three_engines.yaml")
        .replace("revision: 1", &format!("revision: {revision}"))
        .replace("version: \"1\"", &format!("version: \"{version}\""));
    let note = note::ReleaseNote::from_yaml(&text).unwrap();
    note::StateInForce::default().apply(&note).unwrap()
}

/// Returns the status of an engine that has loaded a version of the model, or no model.
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

/// Returns the action that loads a version of the model.
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
