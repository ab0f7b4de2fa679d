//! Measures the time to parse, validate and apply a note in a state of maximum size.
//!
//! Run with `cargo run --release -p note --example state_cost`.

use std::time;

/// Number of notes to apply.
const NOTES: u64 = 2_000;

fn main() {
    let texts = base(12_000, 9_400);
    let started = time::Instant::now();
    let mut note = note::ReleaseNote::default();
    for text in &texts {
        let part = note::ReleaseNote::from_yaml(text).expect("the part parses");
        note.revision = part.revision;
        note.base = part.base;
        note.added.append(part.added);
    }
    let parse = started.elapsed();
    let started = time::Instant::now();
    let mut state = note::StateInForce::default()
        .apply(&note)
        .expect("the base note is valid");
    let apply = started.elapsed();
    let started = time::Instant::now();
    let parts = note::split(&state, 128_000).expect("the state is serializable");
    let split = started.elapsed();
    let started = time::Instant::now();
    let joined = note::join(&parts).expect("all parts are present");
    let join = started.elapsed();
    assert_eq!(joined.digest(), state.digest());
    let started = time::Instant::now();
    let mut digests = 0;
    for _ in 0..NOTES {
        let text = change(&state);
        let note = note::ReleaseNote::from_yaml(&text).expect("the note parses");
        state = state.apply(&note).expect("the note is valid");
        digests ^= state.digest().0;
    }
    let per_note = started.elapsed() / u32::try_from(NOTES).unwrap_or(u32::MAX);
    let bytes: usize = texts.iter().map(String::len).sum();
    println!(
        "base of 12,000 engines and 9,400 workspaces: {bytes} bytes in {} parts",
        texts.len()
    );
    println!("parse {parse:?}, validate and apply {apply:?}");
    println!("split into {} parts {split:?}, join {join:?}", parts.len());
    println!("change of one engine, parse, validate, apply and digest: {per_note:?} ({digests:x})");
}

/// Returns the parts of a base note, each below the size limit of a value.
fn base(engines: u64, workspaces: u64) -> Vec<String> {
    let header = |number| {
        format!("revision: 1\nbase: true\npart: {{ number: {number}, count: 7 }}\nadded:\n")
    };
    let mut texts = vec![header(1) + "  models: [{ name: m, version: v }]\n  workspaces:\n"];
    for number in 0..workspaces {
        texts[0].push_str(&format!(
            "    - {{ name: desk-{number}, weight: 1, in_flight_limit: 8 }}\n"
        ));
    }
    for part in 0..6 {
        let mut text = header(part + 2) + "  engines:\n";
        for number in (0..engines).filter(|number| number % 6 == part) {
            text.push_str(&engine(number, 20));
        }
        texts.push(text);
    }
    texts
}

fn change(state: &note::StateInForce) -> String {
    let revision = state.revision.next();
    let engine = engine(revision.0 * 7 % 12_000, 21);
    format!("revision: {revision}\nchanged:\n  engines:\n{engine}")
}

fn engine(number: u64, decode_slots: u32) -> String {
    let (high, low) = (number / 250, number % 250 + 1);
    format!(
        "    - name: engine-{number}\n      address: 10.1.{high}.{low}:8000\n      region: region-0\n      \
         data_centre: centre-0\n      role: flexible\n      models: [m]\n      decode_slots: \
         {decode_slots}\n      kv_pieces: 400\n      prefill_tokens_per_second: 8000\n      \
         link_tokens_per_second: 200000\n      full_batch_token_ms: 45\n      retention_ms: 800\n"
    )
}
