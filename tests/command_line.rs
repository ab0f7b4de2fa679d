//! The command line: exit codes, help and the pages that describe it.

use std::{fs, path, process};

/// Exit code of wrong input.
const WRONG_INPUT: i32 = 2;

/// Exit code of work that failed.
const WORK_FAILED: i32 = 1;

fn run(arguments: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_plantainreach"))
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .expect("the binary runs")
}

fn output_text(output: &process::Output) -> String {
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    format!("{stdout}{stderr}")
}

fn page(name: &str) -> String {
    let path = path::Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    fs::read_to_string(path).expect("the page is there")
}

/// Returns the first words of the lines below a heading of a help text.
fn names_below(help: &str, heading: &str) -> Vec<String> {
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
    let commands = names_below(&output_text(&run(&["--help"])), "Commands:");

    assert_eq!(commands, ["serve", "node", "check", "status", "demo"]);
    for command in commands {
        assert!(
            install.contains(&format!("`plantainreach {command}")),
            "{command}"
        );
        let options = names_below(&output_text(&run(&[&command, "--help"])), "Options:");
        for option in options.iter().filter(|option| *option != "--help") {
            assert!(
                install.contains(&format!("`{option}")),
                "{command} {option}"
            );
        }
    }
}

#[test]
fn a_wrong_command_line_is_told_apart_from_failed_work() {
    let unknown = run(&["bogus"]);
    let missing = run(&[]);
    let wrong_file = run(&["check", "test_data/settings/wrong/unknown_key.yaml"]);
    let no_file = run(&["serve", "--settings", "test_data/settings/absent.yaml"]);
    let no_answer = run(&["status", "--admin", "127.0.0.1:1"]);

    assert_eq!(unknown.status.code(), Some(WRONG_INPUT));
    assert_eq!(missing.status.code(), Some(WRONG_INPUT));
    assert_eq!(wrong_file.status.code(), Some(WRONG_INPUT));
    assert_eq!(no_file.status.code(), Some(WRONG_INPUT));
    assert_eq!(no_answer.status.code(), Some(WORK_FAILED));
}

#[test]
fn check_names_file_line_key_and_fix() {
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
fn check_tells_settings_from_release_notes() {
    let output = run(&["check", "test_data/settings/coilquote.yaml"]);

    assert!(output.status.success(), "{}", output_text(&output));
    assert!(output_text(&output).contains("settings are valid"));
}

#[test]
fn check_folds_the_notes_in_the_order_given() {
    let base = "test_data/notes/coilquote-base.yaml";
    let next = "test_data/notes/coilquote-server-leaves.yaml";

    let in_order = run(&["check", base, next]);
    let alone = run(&["check", next]);

    assert!(in_order.status.success(), "{}", output_text(&in_order));
    assert!(output_text(&in_order).contains("release note is valid (revision 2)"));
    assert!(output_text(&alone).contains("valid by itself"));
}

#[test]
fn check_names_file_line_and_fix_of_five_wrong_notes() {
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
        assert_eq!(output.status.code(), Some(WRONG_INPUT), "{case}: {text}");
        assert!(text.contains(&format!("{case}.yaml:")), "{case}: {text}");
        assert!(text.contains("help: "), "{case}: {text}");
    }
}

#[test]
fn version_is_that_of_the_package() {
    let output = run(&["--version"]);

    let expected = format!("plantainreach {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(output_text(&output), expected);
}

#[test]
fn schemas_are_json() {
    for kind in ["settings", "notes"] {
        let output = run(&["check", "--schema", kind]);

        let schema: serde_json::Value =
            serde_json::from_slice(&output.stdout).expect("the schema is JSON");
        assert!(schema["properties"].is_object(), "{kind}");
    }
}

/// Runs `node --check` on a settings file in the platform's format.
fn check_platform_settings(name: &str, text: &str) -> process::Output {
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, text).expect("the directory of tests is writable");
    process::Command::new(env!("CARGO_BIN_EXE_plantainreach"))
        .args(["node", "--check"])
        .env("PLANTAINREACH_CONFIG", file)
        .output()
        .expect("the binary runs")
}

#[test]
fn settings_of_the_platform_are_checked_without_starting() {
    let whole = fs::read_to_string("test_data/settings/platform.toml").expect("it is there");
    let wrong = whole.replace("internalPorts = [", "internalPorts = [\"a\", ");

    let unset = run(&["node"]);
    let valid = check_platform_settings("platform_valid.toml", &whole);
    let invalid = check_platform_settings("platform_wrong.toml", &wrong);

    assert_eq!(unset.status.code(), Some(WRONG_INPUT));
    assert!(output_text(&unset).contains("PLANTAINREACH_CONFIG"));
    assert_eq!(valid.status.code(), Some(0), "{}", output_text(&valid));
    assert_eq!(invalid.status.code(), Some(WRONG_INPUT));
    let text = output_text(&invalid);
    assert!(text.contains("internalPorts"), "{text}");
}
