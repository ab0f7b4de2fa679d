//! Sample notes of `test_data/notes` are accepted, or refused with a location and reason.

use std::{fs, path};

fn sample(name: &str) -> String {
    let path = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../test_data/notes");
    fs::read_to_string(path.join(name)).expect("the sample note is readable")
}

fn state_after(names: &[&str]) -> note::StateInForce {
    let mut state = note::StateInForce::default();
    for name in names {
        let note =
            note::check(name, &sample(name), Some(&state)).expect("the sample note is valid");
        state = state.apply(&note).expect("the sample note is valid");
    }
    state
}

/// Returns line, column and reason of each fault of a sample as the successor of `base`.
fn faults(name: &str, base: &str) -> Vec<(u64, u64, &'static str)> {
    let state = state_after(&[base]);
    let report =
        note::check(name, &sample(name), Some(&state)).expect_err("the sample note is refused");
    report
        .faults
        .iter()
        .map(|fault| (fault.line, fault.column, (&fault.reason).into()))
        .collect()
}

#[test]
fn accepts_a_note_that_withdraws_a_model() {
    let state = state_after(&["addis-base.yaml", "addis-withdraws-strap-fit.yaml"]);

    assert_eq!(state.revision, ids::Revision(2));
    assert_eq!(state.models.len(), 1);
    assert!(
        state
            .engines
            .values()
            .all(|engine| engine.models == ["dossier".into()])
    );
}

#[test]
fn accepts_a_note_that_drains_a_backend_server() {
    let state = state_after(&["coilquote-base.yaml", "coilquote-server-leaves.yaml"]);

    assert!(state.servers[&ids::ServerName::from("orders-2")].leaving);
}

#[test]
fn locates_a_withdrawn_model_that_is_still_used() {
    let faults = faults("refused-withdraws-needed-model.yaml", "addis-base.yaml");

    assert_eq!(faults, [(5, 7, "still_needed")]);
}

#[test]
fn locates_the_list_with_a_dangling_reference() {
    let faults = faults("refused-dangling-model.yaml", "coilquote-base.yaml");

    assert_eq!(faults, [(8, 19, "dangling_reference")]);
}

#[test]
fn reports_all_faults_of_an_entry() {
    let faults = faults("refused-out-of-range.yaml", "coilquote-base.yaml");

    assert_eq!(faults, [(6, 15, "out_of_range"), (5, 7, "already_exists")]);
}

#[test]
fn locates_an_unknown_key() {
    let faults = faults("refused-unknown-key.yaml", "coilquote-base.yaml");

    assert_eq!(faults, [(6, 7, "unreadable")]);
}

#[test]
fn rejects_a_revision_gap() {
    let faults = faults("refused-revision-gap.yaml", "coilquote-base.yaml");

    assert_eq!(faults, [(2, 11, "revision_gap")]);
}

#[test]
fn rejects_a_text_above_the_size_limit() {
    let text = format!("revision: 1\n# {}", "x".repeat(note::NOTE_LIMIT_BYTES));

    let report =
        note::check("large.yaml", &text, None).expect_err("the note exceeds the size limit");

    assert!(matches!(
        report.faults[0].reason,
        note::RefusalReason::TooLarge { .. }
    ));
}

#[test]
fn schema_contains_every_section_of_a_note() {
    let schema = note::schema();

    let keys = schema.get("properties").expect("the schema has properties");
    for key in ["revision", "base", "part", "added", "changed", "withdrawn"] {
        assert!(keys.get(key).is_some(), "{key}");
    }
}
