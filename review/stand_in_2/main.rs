//! Plays the scripted cases of the second review: `review-2 CASE FOLDER`, with `TROUBLE=0` for the same
//! without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod case_holders;
mod case_odd_entry;
mod case_silence;
mod case_take_up;
mod case_versions;
mod engine;
mod site;

use std::{env, path::Path, process};

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE FOLDER");
        process::exit(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = site::Record::create(&Path::new(folder).join("record.txt"));
    let verdict = match case.as_str() {
        "holders" => case_holders::play(&record, has_trouble),
        "odd-entry" => case_odd_entry::play(&record, has_trouble),
        "versions" => case_versions::play(&record, has_trouble),
        "take-up" => case_take_up::play(&record, has_trouble),
        "silence" => case_silence::play(&record, has_trouble),
        _ => Err("no such case".to_owned()),
    };
    let (text, code) = match verdict {
        Ok(None) => ("the rule held".to_owned(), 0),
        Ok(Some(fault)) => (format!("the rule was broken: {fault}"), 1),
        Err(reason) => (format!("the case couldn't run: {reason}"), 2),
    };
    record.write(&text);
    println!("{text}");
    process::exit(code);
}
