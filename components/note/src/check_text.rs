//! Validation of the text of a release note before an operator publishes it.

use crate::{note_check, note_error, note_report, refusal_reason, release_note, state_in_force};

/// Parses and validates the text of the note `name` against the state `previous` that it follows.
///
/// Without `previous`, an incremental note is checked only for faults that don't depend on the
/// state.
/// A base note is always checked completely, unless it is one of several parts.
///
/// # Errors
///
/// Returns a report of all faults, each with its line, column and fix.
pub fn check(
    name: &str,
    text: &str,
    previous: Option<&state_in_force::StateInForce>,
) -> Result<release_note::ReleaseNote, note_report::NoteReport> {
    let note = parse(name, text)?;
    let standalone = note.part.is_some() || (previous.is_none() && !note.base);
    let faults = if standalone {
        note_check::standalone_faults(&note)
    } else {
        note_check::faults(
            previous.unwrap_or(&state_in_force::StateInForce::default()),
            &note,
        )
    };
    if faults.is_empty() {
        return Ok(note);
    }
    Err(note_report::NoteReport::new(name, text, faults))
}

fn parse(name: &str, text: &str) -> Result<release_note::ReleaseNote, note_report::NoteReport> {
    if text.len() > crate::NOTE_LIMIT_BYTES {
        let reason = note_error::NoteError::TooLarge { bytes: text.len() }.into_refusal();
        return Err(note_report::NoteReport::unreadable(
            name, text, reason, None,
        ));
    }
    serde_saphyr::from_str(text).map_err(|error| {
        let location = error.location();
        let reason = refusal_reason::RefusalReason::Unreadable {
            detail: error.without_snippet().to_string(),
        };
        note_report::NoteReport::unreadable(name, text, reason, location)
    })
}

/// Returns the JSON Schema of release notes.
#[must_use]
pub fn schema() -> schemars::Schema {
    schemars::schema_for!(release_note::ReleaseNote)
}
