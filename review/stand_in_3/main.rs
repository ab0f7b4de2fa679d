//! Cases of the third review that run as scripts.

mod first_worker;
mod joined_streams;
mod sessions;
mod site;
mod stream_client;

use std::{env, path::Path, process::exit};

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, record] = arguments.as_slice() else {
        eprintln!("usage: case NAME RECORD");
        exit(2);
    };
    let is_troubled = env::var("TROUBLE").map_or(true, |text| text != "0");
    let site = site::Site::new();
    let verdict = match name.as_str() {
        "first-worker" => first_worker::run(&site, is_troubled),
        "joined-streams" => joined_streams::run(&site, is_troubled),
        "sessions" => sessions::run(&site, is_troubled),
        _ => Verdict::NotRun(format!("no case {name}")),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("held".to_owned(), 0),
        Verdict::Broken => ("broken".to_owned(), 1),
        Verdict::NotRun(why) => (format!("not run: {why}"), 2),
    };
    site.record.add(format!("result: {text}"));
    site.record.write(Path::new(record));
    if env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&site.folder);
    }
    exit(code);
}
