//! A site of any size: engines, classes, workspaces and instances.

use std::net;

/// Regions of the site.
const REGIONS: usize = 7;

/// Data centres of the site.
const DATA_CENTRES: usize = 15;

/// Models of the site.
const MODELS: usize = 24;

/// Workspaces of the site at full size.
const WORKSPACES: usize = 9_400;

/// Engines of the site at full size.
pub(crate) const FULL_ENGINES: usize = 12_000;

/// Makes a state with so many engines and a share of the workspaces.
pub(crate) fn state(engines: usize) -> Result<note::StateInForce, note::RefusalReason> {
    let added = note::NoteEntries {
        models: (0..MODELS).map(model).collect(),
        engines: (0..engines).map(|number| engine(number, false)).collect(),
        classes: (0..MODELS).map(class).collect(),
        services: vec![service()],
        servers: (0..engines / 100 + 1).map(server).collect(),
        workspaces: (0..WORKSPACES * engines / FULL_ENGINES)
            .map(workspace)
            .collect(),
    };
    let note = note::ReleaseNote {
        revision: ids::Revision(1),
        base: true,
        added,
        ..empty_note()
    };
    note::StateInForce::default().apply(&note)
}

/// Makes a note that changes one engine.
pub(crate) fn change(revision: u64, engine_number: usize, leaving: bool) -> note::ReleaseNote {
    let changed = note::NoteEntries {
        engines: vec![engine(engine_number, leaving)],
        ..Default::default()
    };
    note::ReleaseNote {
        revision: ids::Revision(revision),
        changed,
        ..empty_note()
    }
}

/// Makes a view of so many instances, all alive, seen from the first.
pub(crate) fn view(instances: usize, version: u64) -> member::MemberView {
    let mut view = member::MemberView {
        own: ids::InstanceId(1),
        version,
        fresh: true,
        ..Default::default()
    };
    for number in 0..instances {
        let id = ids::InstanceId(number as u64 + 1);
        let entry = member::MemberEntry {
            instance: instance(number),
            incarnation: ids::Incarnation(1),
            state: member::MemberState::Alive,
        };
        view.members.insert(id, entry);
    }
    view
}

/// Returns the name of a model.
pub(crate) fn model_name(number: usize) -> ids::ModelName {
    format!("model-{}", number % MODELS).into()
}

/// Returns the name of the class of a model.
pub(crate) fn class_name(number: usize) -> ids::ClassName {
    format!("class-{}", number % MODELS).into()
}

/// Returns the name of an engine.
pub(crate) fn engine_name(number: usize) -> ids::ServerName {
    format!("engine-{number:05}").into()
}

fn empty_note() -> note::ReleaseNote {
    let text = "revision: 1";
    note::ReleaseNote::from_yaml(text).unwrap_or_else(|_| unreachable!("a constant note parses"))
}

fn model(number: usize) -> note::ModelEntry {
    note::ModelEntry {
        name: model_name(number),
        version: "1".into(),
        adapters: Vec::new(),
    }
}

fn engine(number: usize, leaving: bool) -> note::EngineEntry {
    let role = if number.is_multiple_of(3) {
        note::EngineRole::Prefill
    } else {
        note::EngineRole::Decode
    };
    // Neighbours in number share their region and model, so that a small site has whole cells.
    let group = number / place::cell::CELL_ENGINE_LIMIT;
    note::EngineEntry::builder()
        .name(engine_name(number))
        .address(address(number))
        .region(format!("region-{}", group % REGIONS))
        .data_centre(format!("dc-{}", group % DATA_CENTRES))
        .role(role)
        .models(vec![model_name(group)])
        .decode_slots(20_u32)
        .kv_pieces(400_u32)
        .prefill_tokens_per_second(20_000_u32)
        .link_tokens_per_second(400_000_u32)
        .full_batch_token_ms(45_u32)
        .retention_ms(800_u32)
        .leaving(leaving)
        .build()
}

fn class(number: usize) -> note::RequestClass {
    note::RequestClass {
        name: class_name(number),
        target: note::ClassTarget::Generation(note::GenerationClass {
            models: vec![model_name(number)],
            first_token_ms: 710,
            token_pace_ms: 55,
            priority: 0,
            expected_output_tokens: 450,
            output_limit_tokens: 2_000,
            can_wait_ms: 0,
        }),
    }
}

fn service() -> note::ServiceEntry {
    note::ServiceEntry {
        name: "orders".into(),
        path_prefix: Some("/orders".to_owned()),
        host: None,
    }
}

fn server(number: usize) -> note::ServerEntry {
    note::ServerEntry {
        name: format!("server-{number:05}").into(),
        service: "orders".into(),
        address: address(number),
        region: "region-0".into(),
        data_centre: "dc-0".into(),
        concurrency: 64,
        leaving: false,
    }
}

fn workspace(number: usize) -> note::WorkspaceEntry {
    note::WorkspaceEntry {
        name: format!("workspace-{number:05}").into(),
        weight: 1,
        in_flight_limit: 100,
    }
}

fn instance(number: usize) -> border::InstanceEntry {
    border::InstanceEntry::builder()
        .id(ids::InstanceId(number as u64 + 1))
        .address(address(number))
        .region(format!("region-{}", number % REGIONS))
        .data_centre(format!("dc-{}", number % DATA_CENTRES))
        .build()
}

fn address(number: usize) -> net::SocketAddr {
    let low = u8::try_from(number % 250).unwrap_or(0);
    let high = u8::try_from(number / 250 % 250).unwrap_or(0);
    net::SocketAddr::from(([10, 0, high, low], 7_000))
}
