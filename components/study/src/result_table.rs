//! Prints the figures of cases.

use crate::case_result;

/// Prints the figures of cases as a table.
pub fn print(results: &[case_result::CaseResult]) {
    let mut table = comfy_table::Table::new();
    table.load_style(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header([
        "mix",
        "load",
        "fault",
        "policy",
        "seed",
        "goodput/s",
        "good %",
        "of capacity %",
        "wasted %",
        "own wasted %",
        "first p50",
        "p95",
        "p99",
        "pace p95",
        "refused",
        "leaked",
        "messages",
        "bytes",
    ]);
    for result in results {
        let case = &result.case;
        table.add_row([
            case.mix.to_string(),
            format!("{:.1}", case.load),
            case.fault.to_string(),
            case.policy.to_string(),
            case.seed.to_string(),
            format!("{:.2}", result.goodput),
            format!("{:.1}", result.good_share * 100.0),
            format!("{:.1}", result.capacity_share * 100.0),
            format!("{:.2}", result.wasted_share * 100.0),
            format!("{:.2}", result.wasted_own_share * 100.0),
            format!("{:.0}", result.first_p50_ms),
            format!("{:.0}", result.first_p95_ms),
            format!("{:.0}", result.first_p99_ms),
            format!("{:.1}", result.pace_p95_ms),
            result.refused.to_string(),
            result.leaked_pieces.to_string(),
            format!("{:.1}", result.messages_per_request),
            format!("{:.0}", result.bytes_per_request),
        ]);
    }
    println!("{table}");
}
