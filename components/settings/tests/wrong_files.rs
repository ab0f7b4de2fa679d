//! Wrong settings files give diagnostics that name the place, the key and the fix.

use std::{fs, path};

use miette::Diagnostic as _;

/// Set to write the golden files anew instead of comparing with them.
const REWRITE_VARIABLE: &str = "REWRITE_GOLDEN";

fn data_directory() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../test_data/settings")
}

fn diagnosis(case: &str) -> String {
    let path = data_directory().join("wrong").join(format!("{case}.yaml"));
    let text = fs::read_to_string(&path).expect("the case is on disk");
    let error = settings::InstanceSettings::from_yaml(&format!("{case}.yaml"), &text)
        .expect_err("the case is wrong");
    render(&error)
}

fn render(error: &settings::SettingsError) -> String {
    let mut text = String::new();
    miette::GraphicalReportHandler::new_themed(miette::GraphicalTheme::unicode_nocolor())
        .with_width(100)
        .render_report(&mut text, error)
        .expect("a report renders");
    text
}

fn assert_golden(case: &str) {
    let golden = data_directory().join("wrong").join(format!("{case}.txt"));
    let found = diagnosis(case);

    if std::env::var_os(REWRITE_VARIABLE).is_some() {
        fs::write(&golden, &found).expect("the golden file can be written");
    }

    let expected = fs::read_to_string(&golden).expect("the golden file is on disk");
    assert_eq!(found, expected, "{case}");
}

#[test]
fn an_unknown_key_is_refused_with_the_keys_that_exist() {
    assert_golden("unknown_key");
}

#[test]
fn a_missing_key_is_named_with_its_section() {
    assert_golden("missing_key");
}

#[test]
fn a_missing_section_is_named() {
    assert_golden("missing_section");
}

#[test]
fn a_value_of_the_wrong_type_is_refused_with_the_meaning_of_the_key() {
    assert_golden("wrong_type");
}

#[test]
fn an_unknown_value_is_refused_with_the_values_that_exist() {
    assert_golden("unknown_value");
}

#[test]
fn all_values_out_of_range_are_told_at_once() {
    assert_golden("values_out_of_range");
}

#[test]
fn a_host_name_in_place_of_an_ip_address_is_refused() {
    assert_golden("host_name_for_address");
}

#[test]
fn a_tab_as_indentation_is_refused_at_its_line() {
    assert_golden("tab_indentation");
}

#[test]
fn every_problem_has_a_fix_and_a_label_in_the_text() {
    let path = data_directory().join("wrong/values_out_of_range.yaml");

    let error = settings::InstanceSettings::from_file(&path).expect_err("the file is wrong");

    let settings::SettingsError::Invalid { problems, .. } = error else {
        panic!("the file can be read");
    };
    assert!(problems.len() > 1);
    for problem in problems {
        assert!(problem.help().is_some(), "{problem}");
        assert!(problem.labels().is_some(), "{problem}");
    }
}
