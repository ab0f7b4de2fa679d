//! Tests that the operators' page on metrics, `reading-back.md`, lists every metric.

use std::{fs, path};

/// Prefix of all metric names; the page omits it.
const PREFIX: &str = "plantainreach_";

fn page() -> String {
    let page = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/operators/reading-back.md");
    fs::read_to_string(page).expect("the page exists and is readable")
}

/// Returns a meter in which every metric has a value.
fn populated_meter() -> meter::Meter {
    let meter = meter::Meter::default();
    let duration = std::time::Duration::from_millis(1);
    let requests = meter.requests();
    requests.answered("quote", meter::AnswerTiming::InTime);
    requests.first_token("quote", duration);
    requests.token_gap("quote", duration);
    requests.refused("queue_full");
    requests.broken("unknown");
    requests.wasted("caller_gone", 1);
    meter.placements().refused("queue_full");
    meter.calls().ended(false, "ran");
    meter.calls().failed("no_server");
    meter.members().changed([("alive", 1)], true, false);
    meter.orders().ordered("load_model");
    meter.orders().answered(Some("done"));
    meter.peers().dropped("queue_full", 1);
    meter
}

#[test]
fn page_lists_every_metric() {
    let page = page();
    let text = populated_meter().render();

    let names: Vec<_> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE ")?.split(' ').next())
        .filter_map(|name| name.strip_prefix(PREFIX))
        .collect();

    assert!(names.len() > 30, "{names:?}");
    for name in names {
        let is_listed = page.split(['`', ' ', '{', '(']).any(|word| {
            word == name
                || word.strip_suffix("_total") == Some(name)
                || word == format!("{name}_info")
        });
        assert!(is_listed, "add `{name}` to docs/operators/reading-back.md");
    }
}
