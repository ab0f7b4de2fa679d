//! Tests that the settings reference, `settings.md`, lists the same keys as the code.

use std::{fs, path};

fn reference() -> String {
    let page = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/operators/settings.md");
    fs::read_to_string(page).expect("the page exists and is readable")
}

/// Returns the table row of the reference for a key.
fn row(entry: &settings::KeyEntry) -> String {
    let default = match &entry.default {
        Some(value) => format!("`{}`", value.trim_matches('"')),
        None if entry.required => "must be given".to_owned(),
        None => "none".to_owned(),
    };
    format!("| `{}` | {default} | {} |", entry.key, entry.description)
}

#[test]
fn reference_lists_every_key_with_default_and_description() {
    let reference = reference();

    for entry in settings::key_entries() {
        let row = row(&entry);
        assert!(
            reference.contains(&row),
            "add to docs/operators/settings.md:\n{row}"
        );
    }
}

#[test]
fn reference_lists_no_unknown_key() {
    let keys: Vec<_> = settings::key_entries()
        .into_iter()
        .map(|entry| entry.key)
        .collect();

    for line in reference().lines() {
        let Some(key) = line
            .strip_prefix("| `")
            .and_then(|rest| rest.split('`').next())
        else {
            continue;
        };
        assert!(
            keys.iter().any(|known| known == key),
            "`{key}` is not a key"
        );
    }
}
