//! Prints the processor time of decisions at an overloaded site with many workspaces.
//!
//! Run it with `cargo run --release -p relay --example decision_cost`.

use std::{collections, net, sync, time};

/// Numbers of the site.
const PREFILL_ENGINES: u8 = 16;
const DECODE_ENGINES: u8 = 48;
const WORKSPACES: u32 = 400;
const QUEUED: u32 = 1_000;

/// Decisions of each kind.
const SAMPLES: u32 = 5_000;

/// Name of the service.
const SERVICE: &str = "drafts";

fn engine(number: u8, stage: relay::EngineStage) -> relay::BackendEntry {
    relay::BackendEntry::builder()
        .server(format!("{stage:?}-{number}").as_str().into())
        .service(SERVICE.into())
        .address(net::SocketAddr::from(([10, 1, 0, number], 8_080)))
        .data_centre("a".into())
        .slots(12)
        .stage(stage)
        .born_millis(1)
        .build()
}

fn workspace_rule(number: u32) -> workspace::WorkspaceRule {
    workspace::WorkspaceRule {
        name: format!("workspace-{number}").as_str().into(),
        priority: None,
        keys: Vec::new(),
        limit: None,
    }
}

fn site(workspaces: u32) -> relay::ViewUpdate {
    let size = relay::EngineSize::builder()
        .slots(12)
        .kv_tokens(71_000)
        .tokens_per_event(50)
        .retention(time::Duration::from_millis(500))
        .build();
    let service = relay::ServiceRule {
        engine: Some(size),
        health_path: None,
    };
    let rules: Vec<_> = (0..workspaces).map(workspace_rule).collect();
    let config = relay::SiteConfig {
        version: 1,
        services: collections::BTreeMap::from([(SERVICE.into(), service)]),
        workspaces: sync::Arc::new(rules.into()),
        ..relay::SiteConfig::default()
    };
    let prefills = (0..PREFILL_ENGINES).map(|number| engine(number, relay::EngineStage::Prefill));
    let decodes =
        (0..DECODE_ENGINES).map(|number| engine(100 + number, relay::EngineStage::Decode));
    let entries = prefills.chain(decodes).map(relay::ViewChange::Backend);
    relay::ViewUpdate {
        era: None,
        revision: 1,
        complete: true,
        changes: std::iter::once(relay::ViewChange::Config(sync::Arc::new(config)))
            .chain(entries)
            .map(|change| relay::RevisedChange {
                revision: 1,
                change,
            })
            .collect(),
    }
}

fn request(number: u32, wait_until: u64) -> relay::StreamRequest {
    let name = workspace_rule(number % WORKSPACES).name;
    relay::StreamRequest::builder()
        .service(SERVICE.into())
        .workspace(relay::WorkspaceKey::of(&name))
        .prompt_tokens(5_000)
        .output_tokens(700)
        .first_token_due(clock::Timestamp::from_millis(90_000 + u64::from(number)))
        .wait_until(clock::Timestamp::from_millis(wait_until))
        .build()
}

/// Returns a core whose engines are full and where requests wait.
fn overloaded_core(workspaces: u32) -> relay::RelayCore {
    let bound = relay::RetryBound::builder()
        .ratio(0.2)
        .slack(50.0)
        .window(time::Duration::from_secs(10))
        .build();
    let settings = relay::CoreSettings::builder()
        .address(net::Ipv4Addr::new(10, 0, 0, 1))
        .incarnation(1)
        .data_centre("a".into())
        .retry_bound(bound)
        .build();
    let mut core = relay::RelayCore::new(settings);
    let start = clock::Timestamp::from_millis(0);
    core.apply_store_read(start, start, site(workspaces));
    let mut number = 0;
    let mut waiting = 0;
    while waiting < QUEUED {
        let outcome = core.place(
            clock::Timestamp::from_millis(1),
            request(number, 10_000_000),
        );
        match outcome {
            relay::PlacementOutcome::Placed(placement) => {
                let succeeded = relay::BackendOutcome::Succeeded;
                let now = clock::Timestamp::from_millis(1);
                core.record_prefill_outcome(now, placement.key, succeeded);
            }
            _ => waiting += 1,
        }
        number += 1;
    }
    core
}

/// Prints the times of a decision in microseconds.
fn measure(name: &str, mut decision: impl FnMut(u32)) {
    let mut times: Vec<u128> = (0..SAMPLES)
        .map(|sample| {
            let begun = time::Instant::now();
            decision(sample);
            begun.elapsed().as_nanos()
        })
        .collect();
    times.sort_unstable();
    let percentile = |share: usize| times[times.len() * share / 100] as f64 / 1_000.0;
    println!(
        "{name}: median {:.1} us, p99 {:.1} us",
        percentile(50),
        percentile(99)
    );
}

fn main() {
    for workspaces in [0, WORKSPACES] {
        println!("{workspaces} workspaces, {QUEUED} waiting");
        let mut core = overloaded_core(workspaces);
        let now = clock::Timestamp::from_millis(2);
        measure("arrival that is refused", |sample| {
            core.place(now, request(sample, 3));
        });
        measure("check of the queue", |_| {
            core.poll_queue(now);
        });
        measure("state update", |_| {
            core.due_update(now);
        });
    }
}
