//! The cost of limits of workspaces at one instance of a fleet.

use std::{net, sync, time};

use crate::{cost_row, load_error, usage_probe};

/// Sizes that are measured, in workspaces.
const SIZES: [usize; 3] = [400, 2_000, 9_400];

/// Other instances, each of which has charged requests to all workspaces.
const PEERS: u32 = 78;

/// Workspaces in one state update.
const REPORTS: usize = 64;

/// Tokens per second of each limit.
const RATE: f64 = 1e6;

/// Tokens of a request.
const REQUEST_TOKENS: u32 = 3_270;

/// Units of work that are measured.
const UNITS: u32 = 2_000;

/// Measures what an instance does with requests and state updates.
pub(crate) fn measure() -> Result<Vec<cost_row::CostRow>, load_error::LoadError> {
    let mut rows = Vec::new();
    for size in SIZES {
        rows.extend(measure_size(size)?);
    }
    Ok(rows)
}

fn measure_size(size: usize) -> Result<[cost_row::CostRow; 3], load_error::LoadError> {
    let rules: Vec<_> = (0..size).map(rule).collect();
    let mut core = core(&rules);
    let before = usage_probe::held_kilobytes();
    let updates = size.div_ceil(REPORTS) * PEERS as usize;
    let apply_us = usage_probe::unit_micros(updates as u32, || apply_all(&mut core, &rules))?;
    let held = usage_probe::held_kilobytes().saturating_sub(before);
    let charge_us = usage_probe::unit_micros(UNITS, || charge(&mut core, &rules))?;
    let update_us = usage_probe::unit_micros(UNITS, || {
        for number in 0..UNITS {
            core.full_update(at(number));
        }
    })?;
    let row = |part, unit, unit_us, held_kilobytes| cost_row::CostRow {
        part,
        size_of: "workspaces",
        size,
        unit,
        unit_us,
        unit_bytes: None,
        held_kilobytes,
    };
    Ok([
        row(
            "limits: update of another instance",
            "update",
            apply_us,
            Some(held),
        ),
        row("limits: request charged", "request", charge_us, None),
        row("limits: own full update", "update", update_us, None),
    ])
}

/// Returns a time after the process has learnt what the others spend.
fn at(number: u32) -> clock::Timestamp {
    clock::Timestamp::from_millis(4_000 + u64::from(number) / 10)
}

fn rule(number: usize) -> workspace::WorkspaceRule {
    workspace::WorkspaceRule {
        name: format!("workspace-{number}").into(),
        priority: None,
        keys: Vec::new(),
        limit: Some(workspace::TokenLimit {
            unit: workspace::LimitUnit::Tokens,
            rate: RATE,
            burst: RATE,
            plain_tokens: 200,
        }),
    }
}

fn core(rules: &[workspace::WorkspaceRule]) -> relay::RelayCore {
    let bound = relay::RetryBound::builder()
        .ratio(0.2)
        .slack(52.0)
        .window(time::Duration::from_secs(10))
        .build();
    let settings = relay::CoreSettings::builder()
        .address(net::Ipv4Addr::new(10, 0, 0, 1))
        .incarnation(1)
        .data_centre("a".into())
        .retry_bound(bound)
        .build();
    let mut core = relay::RelayCore::new(settings);
    let config = relay::SiteConfig {
        version: 1,
        workspaces: sync::Arc::new(rules.to_vec().into()),
        ..relay::SiteConfig::default()
    };
    let update = relay::ViewUpdate {
        era: None,
        revision: 1,
        complete: true,
        changes: vec![relay::RevisedChange {
            revision: 1,
            change: relay::ViewChange::Config(sync::Arc::new(config)),
        }],
    };
    let now = clock::Timestamp::from_millis(1);
    core.apply_store_read(now, now, update);
    core
}

/// Applies updates of all other instances that together tell of all workspaces.
fn apply_all(core: &mut relay::RelayCore, rules: &[workspace::WorkspaceRule]) {
    for peer in 0..PEERS {
        for (sequence, rules) in (1..).zip(rules.chunks(REPORTS)) {
            let reports = rules.iter().map(|rule| relay::SpendReport {
                workspace: relay::workspace_hash(&rule.name),
                count: budget::DrawCount {
                    drawn: REQUEST_TOKENS,
                    booked: 0,
                    counted_for: time::Duration::from_millis(500),
                },
            });
            let update = relay::InstanceUpdate::builder()
                .address(net::Ipv4Addr::from_bits(0x0a01_0000 + peer))
                .incarnation(1)
                .sequence(sequence)
                .spending(reports.collect())
                .knows_spending(true)
                .build();
            core.apply_update(at(0), update);
        }
    }
}

fn charge(core: &mut relay::RelayCore, rules: &[workspace::WorkspaceRule]) {
    for (number, rule) in (0..UNITS).zip(rules.iter().cycle()) {
        core.charge(at(number), rule, Some(REQUEST_TOKENS));
    }
}
