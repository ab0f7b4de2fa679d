//! Shows a report as a table.

use crate::demo_report;

/// Returns a report as a table for people.
#[must_use]
pub fn report_table(report: &demo_report::DemoReport) -> String {
    let mut table = comfy_table::Table::new();
    table.set_header(["figure", "value"]);
    let fields = serde_json::to_value(report).unwrap_or_default();
    for (name, value) in fields.as_object().into_iter().flatten() {
        table.add_row([name.replace('_', " "), value.to_string()]);
    }
    let broken = report.broken_promises();
    let verdict = if broken.is_empty() {
        "all kept".to_owned()
    } else {
        broken.join("; ")
    };
    table.add_row(["promises".to_owned(), verdict]);
    table.to_string()
}
