//! Golden files of whole sessions of one instance, under virtual time.
//!
//! The control core and the engine models run without I/O, so that a session is the same byte for
//! byte each time. Run with `UPDATE_GOLDEN=1` to write the files anew.

#![expect(clippy::unwrap_used, reason = "a broken fixture is to fail its test")]

mod session_driver;
mod stand_engines;

use std::{path, time};

const SITE: &str = include_str!("../../test_data/sessions/site.yaml");
const SECOND_NOTE: &str = include_str!("../../test_data/sessions/second_note.yaml");
const REFUSED_NOTE: &str = include_str!("../../test_data/sessions/refused_note.yaml");

/// Time in which an instance learns of its site.
const START_SPAN: time::Duration = time::Duration::from_secs(3);

/// Request that the sessions are about.
const REQUEST: ids::RequestId = ids::RequestId(0x51);

fn started_instance() -> session_driver::SessionDriver {
    let mut driver = session_driver::SessionDriver::new(SITE);
    driver.run_for(START_SPAN);
    driver
}

fn generation(class: &str, prompt_tokens: u32) -> control::Event {
    let spec = flow::FlowSpec::builder()
        .request(REQUEST)
        .workspace("coilquote")
        .class(class)
        .model("quote-7b")
        .prompt_tokens(prompt_tokens)
        .max_tokens(100_u32)
        .build();
    control::Event::RequestArrived(spec)
}

fn confirmation() -> control::Event {
    let spec = call::CallSpec::builder()
        .request(REQUEST)
        .workspace("addis")
        .class("order-calls")
        .service("orders")
        .idempotent(false)
        .fingerprint(7_u128)
        .priority(0)
        .time_left(time::Duration::from_secs(2))
        .build();
    control::Event::CallArrived(spec)
}

/// Plays a session twice and compares it with its file.
fn check(name: &str, play: impl Fn() -> String) {
    let directory = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("test_data/sessions");
    let file = directory.join(name).with_extension("golden");
    let session = play();
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(&file, &session).unwrap();
    }

    let golden = std::fs::read_to_string(&file).unwrap();

    assert_eq!(session, golden, "{name} differs from its file");
    assert_eq!(session, play(), "{name} isn't the same twice");
}

#[test]
fn a_quote_is_answered() {
    check("quote", || {
        let mut driver = started_instance();
        driver.answer_with(6);
        driver.give(generation("quote", 1_500));
        driver.run_for(time::Duration::from_secs(2));
        driver.transcript()
    });
}

#[test]
fn a_cancelled_dossier_frees_both_engines() {
    check("cancelled_dossier", || {
        let mut driver = started_instance();
        driver.answer_with(60);
        driver.give(generation("dossier", 12_000));
        driver.run_for(time::Duration::from_millis(1_000));
        driver.give(control::Event::CallerGone(REQUEST));
        driver.run_for(time::Duration::from_secs(1));
        driver.transcript()
    });
}

#[test]
fn a_confirmation_whose_server_dies_ends_as_unknown() {
    check("confirmation_lost", || {
        let mut driver = started_instance();
        driver.lose_calls();
        driver.give(confirmation());
        driver.run_for(time::Duration::from_secs(5));
        driver.transcript()
    });
}

#[test]
fn a_release_note_is_accepted() {
    check("note_accepted", || {
        let mut driver = started_instance();
        driver.publish(2, SECOND_NOTE);
        driver.run_for(time::Duration::from_secs(4));
        driver.transcript()
    });
}

#[test]
fn a_release_note_is_refused_with_its_reason() {
    check("note_refused", || {
        let mut driver = started_instance();
        driver.publish(2, REFUSED_NOTE);
        driver.run_for(time::Duration::from_secs(4));
        driver.transcript()
    });
}
