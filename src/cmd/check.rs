//! Checks settings files and release notes.

use std::{fs, path};

use crate::command_error;

/// Key at the start of a line that only release notes have.
const NOTE_KEY: &str = "revision:";

/// Check settings files and release notes; which of the two a file is shows from its content.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckCommand {
    /// settings files and release notes; notes follow each other in the order given
    #[argh(positional, arg_name = "file")]
    files: Vec<path::PathBuf>,
    /// print the JSON schema of settings or of release notes: settings or notes
    #[argh(option, arg_name = "kind")]
    schema: Option<SchemaKind>,
}

/// The kinds of files that have a schema.
#[derive(Clone, Copy, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
enum SchemaKind {
    Settings,
    Notes,
}

impl CheckCommand {
    /// Runs the subcommand.
    pub(crate) fn run(self) -> Result<(), command_error::CommandError> {
        if let Some(kind) = self.schema {
            print_schema(kind);
            return Ok(());
        }
        if self.files.is_empty() {
            return Err(command_error::CommandError::NothingToCheck);
        }
        let mut wrong = 0;
        let mut state = None;
        for path in &self.files {
            if !check_file(path, &mut state)? {
                wrong += 1;
            }
        }
        if wrong == 0 {
            return Ok(());
        }
        Err(command_error::CommandError::FilesWrong {
            wrong,
            checked: self.files.len(),
        })
    }
}

fn print_schema(kind: SchemaKind) {
    let schema = match kind {
        SchemaKind::Settings => settings::InstanceSettings::schema(),
        SchemaKind::Notes => note::schema(),
    };
    println!("{:#}", schema.as_value());
}

/// Checks one file and prints what is wrong; returns whether it is valid.
fn check_file(
    path: &path::Path,
    state: &mut Option<note::StateInForce>,
) -> Result<bool, command_error::CommandError> {
    let text =
        fs::read_to_string(path).map_err(|source| command_error::CommandError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
    let file = path.display().to_string();
    let problem = if text.lines().any(|line| line.starts_with(NOTE_KEY)) {
        check_note(&file, &text, state)
    } else {
        check_settings(&file, &text)
    };
    if let Err(report) = problem {
        eprintln!("{report:?}");
        return Ok(false);
    }
    Ok(true)
}

fn check_settings(file: &str, text: &str) -> Result<(), miette::Report> {
    settings::InstanceSettings::from_yaml(file, text)?;
    println!("{file}: settings are valid");
    Ok(())
}

/// Checks a release note and folds it into the state that the notes before it made.
fn check_note(
    file: &str,
    text: &str,
    state: &mut Option<note::StateInForce>,
) -> Result<(), miette::Report> {
    let note = note::check(file, text, state.as_ref())?;
    // A part of a divided note, or one whose base wasn't given, makes no state that is known.
    let before = match state.take() {
        _ if note.part.is_some() => None,
        None if note.base => Some(note::StateInForce::default()),
        before => before,
    };
    *state = before.and_then(|before| before.apply(&note).ok());
    let scope = if state.is_some() {
        "release note is valid"
    } else {
        "release note is valid by itself; give the notes before it to check what it refers to"
    };
    println!("{file}: {scope} (revision {})", note.revision);
    Ok(())
}
