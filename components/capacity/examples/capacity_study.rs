//! Prints what the parts of an instance cost at several sizes.
//!
//! Run it with `cargo run --release -p capacity --example capacity_study [-- --json]`.

use std::process;

fn main() -> process::ExitCode {
    let is_json = std::env::args().any(|argument| argument == "--json");
    match capacity::measure() {
        Ok(rows) if is_json => print_json(&rows),
        Ok(rows) => print_table(&rows),
        Err(error) => {
            eprintln!("{error}");
            return process::ExitCode::FAILURE;
        }
    }
    process::ExitCode::SUCCESS
}

fn print_json(rows: &[capacity::CostRow]) {
    for row in rows {
        println!("{}", serde_json::json!(row));
    }
}

fn print_table(rows: &[capacity::CostRow]) {
    let mut table = comfy_table::Table::new();
    table.load_style(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(["part", "size", "µs", "bytes", "KB held"]);
    for row in rows {
        let optional = |value: Option<String>| value.unwrap_or_else(|| "–".to_owned());
        table.add_row([
            row.part.to_owned(),
            format!("{} {}", row.size, row.size_of),
            format!("{:.1} a {}", row.unit_us, row.unit),
            optional(row.unit_bytes.map(|bytes| format!("{bytes:.0}"))),
            optional(row.held_kilobytes.map(|kilobytes| kilobytes.to_string())),
        ]);
    }
    println!("{table}");
}
