//! Operators read back what an instance has in force.

use std::{net, sync};

/// Shows fixed reports.
struct FixedSource;

impl admin::StateSource for FixedSource {
    fn state(&self) -> admin::StateReport {
        state_report()
    }

    fn engines(&self) -> Vec<admin::EngineReport> {
        engine_reports()
    }
}

fn state_report() -> admin::StateReport {
    let instance = admin::InstanceReport::builder()
        .id(ids::InstanceId(1))
        .incarnation(ids::Incarnation(1))
        .region("eu-west")
        .data_centre("eu-west-a")
        .version("0.1.0")
        .ready(true)
        .readiness("ready")
        .draining(false)
        .in_flight(12)
        .build();
    admin::StateReport::builder()
        .instance(instance)
        .release_notes(note_report())
        .membership(membership_report())
        .cells(vec![admin::CellReport {
            id: "00000000000000c1".to_owned(),
            region: "eu-west".to_owned(),
            engines: 2,
            leases: 12,
        }])
        .orders(vec![admin::OrderReport {
            engine: "d1".to_owned(),
            order: 9,
            action: "load_model".to_owned(),
            age_ms: 1_200,
        }])
        .build()
}

fn note_report() -> admin::NoteReport {
    admin::NoteReport::builder()
        .revision(ids::Revision(41))
        .digest("9f2c")
        .reader(true)
        .divergences(0)
        .refused(vec![admin::RefusedNote {
            revision: ids::Revision(40),
            reason: "line 7: unknown model".to_owned(),
        }])
        .lagging(vec![admin::LaggingInstance {
            instance: ids::InstanceId(2),
            revision: ids::Revision(39),
            lag: 2,
            age_ms: 800,
        }])
        .build()
}

fn membership_report() -> admin::MembershipReport {
    let member = |id, state| {
        admin::MemberReport::builder()
            .id(ids::InstanceId(id))
            .state(state)
            .region("eu-west")
            .data_centre("eu-west-a")
            .address(net::SocketAddr::from(([10, 0, 0, 1], 7_400)))
            .maybe_revision((id == 1).then_some(ids::Revision(41)))
            .build()
    };
    admin::MembershipReport {
        fresh: true,
        partitioned: false,
        members: vec![member(1, "alive"), member(2, "suspect")],
    }
}

fn engine_reports() -> Vec<admin::EngineReport> {
    let engine = |name: &str, role: &str| {
        admin::EngineReport::builder()
            .name(name)
            .address(net::SocketAddr::from(([10, 0, 1, 1], 9_000)))
            .data_centre("eu-west-a")
            .role(role)
            .models(vec!["draft".to_owned()])
            .leaving(false)
            .owner(ids::InstanceId(1))
    };
    let load = admin::EngineLoad {
        role: Some("prefill".to_owned()),
        held_slots: 12,
        slots: 20,
        held_pieces: 30,
        pieces: 64,
        queued_prompt_tokens: 0,
    };
    vec![
        engine("d1", "decode").load(load).build(),
        engine("p1", "prefill").build(),
    ]
}

fn bound_server() -> admin::AdminServer {
    let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    admin::AdminServer::bind(
        address,
        sync::Arc::new(FixedSource),
        meter::Meter::default(),
    )
    .expect("loopback can be listened on")
}

#[tokio::test]
async fn the_client_reads_what_the_server_tells() {
    let server = bound_server();
    let client = admin::AdminClient::new(server.address());
    tokio::spawn(server.run(std::future::pending()));

    let state = client.state().await.expect("the server answers");
    let engines = client.engines().await.expect("the server answers");

    assert_eq!(state, state_report());
    assert_eq!(engines, engine_reports());
}

#[tokio::test]
async fn an_address_without_an_instance_is_named_in_the_error() {
    let server = bound_server();
    let address = server.address();
    drop(server);

    let error = admin::AdminClient::new(address)
        .state()
        .await
        .expect_err("nobody listens");

    assert!(error.to_string().contains(&address.to_string()), "{error}");
}

#[test]
fn the_tables_show_what_differs_and_what_is_unknown() {
    let text = admin::status_text(&state_report(), &engine_reports());

    let golden = include_str!("../../../test_data/status/one_cell.txt");
    assert_eq!(trimmed(&text), trimmed(golden));
}

/// Returns the lines without the blanks at their ends, which no reader sees.
fn trimmed(text: &str) -> Vec<&str> {
    text.lines().map(str::trim_end).collect()
}
