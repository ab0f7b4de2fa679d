//! Stand-ins and cases of the review: `stand_in CASE RECORD`, with `TROUBLE=0` without the disruption.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod engine;
mod http;
mod joined;
mod late_work;
mod link;
mod node;
mod record;
mod other_items;
mod site;
mod store;
mod two_leaders;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: stand_in CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let directory = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&directory) {
        eprintln!("{}: {error}", directory.display());
        std::process::exit(2);
    }
    let record = record::Record::start();
    record.write(format!("case {case}, with the disruption: {trouble}"));
    let status = match case.as_str() {
        "other_items" => other_items::run(trouble, &directory, &record),
        "joined" => joined::run(trouble, &directory, &record),
        "late_work" => late_work::run(trouble, &directory, &record),
        "two_leaders" => two_leaders::run(trouble, &directory, &record),
        _ => {
            eprintln!("no such case");
            2
        }
    };
    record.write(format!("exit status {status}"));
    record.save(&path);
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&directory);
    }
    std::process::exit(status);
}
