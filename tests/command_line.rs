//! Tests of the command line: exit codes, outputs, and help texts against the operators' pages.

use std::{fs, path, process};

/// Exit code for invalid arguments, settings or release notes.
const EXIT_INVALID_INPUT: i32 = 2;

/// Exit code for a command that failed with valid input.
const EXIT_FAILURE: i32 = 1;

fn run(arguments: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_plantainreach"))
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .expect("the program can be started")
}

fn output_text(output: &process::Output) -> String {
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    format!("{stdout}{stderr}")
}

fn page(name: &str) -> String {
    let path = path::Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    fs::read_to_string(path).expect("the page exists and is readable")
}

/// Returns the names of the entries below a heading of a help text: the first word of each entry.
fn names_under(help: &str, heading: &str) -> Vec<String> {
    help.lines()
        .skip_while(|line| *line != heading)
        .skip(1)
        .take_while(|line| !line.is_empty())
        .filter_map(|line| line.strip_prefix("  "))
        .filter(|line| !line.starts_with(' '))
        .filter_map(|line| line.split([' ', ',']).next())
        .map(str::to_owned)
        .collect()
}

#[test]
fn every_subcommand_and_option_is_documented() {
    let install = page("docs/operators/install.md");
    let commands = names_under(&output_text(&run(&["--help"])), "Commands:");

    assert_eq!(commands, ["serve", "node", "check", "status", "demo"]);
    for command in commands {
        assert!(
            install.contains(&format!("`plantainreach {command}")),
            "{command}"
        );
        let options = names_under(&output_text(&run(&[&command, "--help"])), "Options:");
        for option in options.iter().filter(|option| *option != "--help") {
            assert!(
                install.contains(&format!("`{option}")),
                "{command} {option}"
            );
        }
    }
}

#[test]
fn exit_code_distinguishes_invalid_input_from_failed_work() {
    let unknown = run(&["bogus"]);
    let missing = run(&[]);
    let invalid_file = run(&["check", "test_data/settings/wrong/unknown_key.yaml"]);
    let missing_file = run(&["serve", "--settings", "test_data/settings/absent.yaml"]);
    let unreachable = run(&["status", "--admin", "127.0.0.1:1"]);

    assert_eq!(unknown.status.code(), Some(EXIT_INVALID_INPUT));
    assert_eq!(missing.status.code(), Some(EXIT_INVALID_INPUT));
    assert_eq!(invalid_file.status.code(), Some(EXIT_INVALID_INPUT));
    assert_eq!(missing_file.status.code(), Some(EXIT_INVALID_INPUT));
    assert_eq!(unreachable.status.code(), Some(EXIT_FAILURE));
}

#[test]
fn check_reports_file_line_key_and_fix() {
    let output = run(&["check", "test_data/settings/wrong/unknown_key.yaml"]);

    let text = output_text(&output).replace("\n  │ ", "");
    for part in [
        "unknown_key.yaml:14:3",
        "limits.body_byte",
        "help: remove it",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
}

#[test]
fn check_recognizes_a_settings_file() {
    let output = run(&["check", "test_data/settings/coilquote.yaml"]);

    assert!(output.status.success(), "{}", output_text(&output));
    assert!(output_text(&output).contains("settings are valid"));
}

#[test]
fn check_applies_release_notes_in_the_given_order() {
    let base = "test_data/notes/coilquote-base.yaml";
    let next = "test_data/notes/coilquote-server-leaves.yaml";

    let in_order = run(&["check", base, next]);
    let alone = run(&["check", next]);

    assert!(in_order.status.success(), "{}", output_text(&in_order));
    assert!(output_text(&in_order).contains("release note is valid (revision 2)"));
    assert!(output_text(&alone).contains("valid by itself"));
}

#[test]
fn check_reports_file_line_and_fix_of_invalid_release_notes() {
    for (base, case) in [
        ("coilquote-base", "refused-dangling-model"),
        ("coilquote-base", "refused-out-of-range"),
        ("coilquote-base", "refused-revision-gap"),
        ("coilquote-base", "refused-unknown-key"),
        ("addis-base", "refused-withdraws-needed-model"),
    ] {
        let files = [base, case].map(|name| format!("test_data/notes/{name}.yaml"));

        let output = run(&["check", &files[0], &files[1]]);

        let text = output_text(&output);
        assert_eq!(
            output.status.code(),
            Some(EXIT_INVALID_INPUT),
            "{case}: {text}"
        );
        assert!(text.contains(&format!("{case}.yaml:")), "{case}: {text}");
        assert!(text.contains("help: "), "{case}: {text}");
    }
}

#[test]
fn version_matches_the_package() {
    let output = run(&["--version"]);

    let expected = format!("plantainreach {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(output_text(&output), expected);
}

#[test]
fn printed_schemas_are_json_objects() {
    for kind in ["settings", "notes"] {
        let output = run(&["check", "--schema", kind]);

        let schema: serde_json::Value =
            serde_json::from_slice(&output.stdout).expect("the schema is JSON");
        assert!(schema["properties"].is_object(), "{kind}");
    }
}

/// Runs `node --check` on a settings file in the platform's format, written from `text`.
fn check_platform_settings(name: &str, text: &str) -> process::Output {
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, text).expect("the temporary directory of the tests is writable");
    process::Command::new(env!("CARGO_BIN_EXE_plantainreach"))
        .args(["node", "--check"])
        .env("PLANTAINREACH_CONFIG", file)
        .output()
        .expect("the program can be started")
}

#[test]
fn node_check_validates_platform_settings() {
    let valid_text = fs::read_to_string("test_data/settings/platform.toml")
        .expect("the settings file exists and is readable");
    let invalid_text = valid_text.replace("internalPorts = [", "internalPorts = [\"a\", ");

    let unset = run(&["node"]);
    let valid = check_platform_settings("platform_valid.toml", &valid_text);
    let invalid = check_platform_settings("platform_wrong.toml", &invalid_text);

    assert_eq!(unset.status.code(), Some(EXIT_INVALID_INPUT));
    assert!(output_text(&unset).contains("PLANTAINREACH_CONFIG"));
    assert_eq!(valid.status.code(), Some(0), "{}", output_text(&valid));
    assert_eq!(invalid.status.code(), Some(EXIT_INVALID_INPUT));
    let text = output_text(&invalid);
    assert!(text.contains("internalPorts"), "{text}");
}
