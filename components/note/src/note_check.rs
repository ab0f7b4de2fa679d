//! Validation of a note against the state in force.

use std::collections;

use crate::{
    entry_map, fault_location, note_entry, note_fault, note_section, range_check, reference_check,
    refusal_reason, release_note, state_in_force,
};

/// Returns all faults of `note` as the successor of `state`.
///
/// The result is the same on every instance.
#[must_use]
pub fn faults(
    state: &state_in_force::StateInForce,
    note: &release_note::ReleaseNote,
) -> Vec<note_fault::NoteFault> {
    validate(state, note).0
}

/// Returns all faults of `note` and the state that results from applying it to `state`.
pub(crate) fn validate(
    state: &state_in_force::StateInForce,
    note: &release_note::ReleaseNote,
) -> (Vec<note_fault::NoteFault>, state_in_force::StateInForce) {
    let empty = state_in_force::StateInForce::default();
    let before = if note.base { &empty } else { state };
    let after = before.apply_unvalidated(note);
    let mut faults = standalone_faults(note);
    // The parts of a base note are validated as one note after they have been joined.
    if note.part.is_some() {
        return (faults, after);
    }
    if !note.base && note.revision != state.revision.next() {
        let reason = refusal_reason::RefusalReason::RevisionGap {
            found: note.revision,
            in_force: state.revision,
        };
        faults.push(note_fault::NoteFault::whole(reason));
    }
    faults.extend(state_faults(before, note));
    faults.extend(reference_check::faults(&after, note));
    (faults, after)
}

/// Returns the faults that don't depend on the state that the note follows.
pub(crate) fn standalone_faults(note: &release_note::ReleaseNote) -> Vec<note_fault::NoteFault> {
    let mut faults = header_faults(note);
    faults.extend(range_check::faults(note));
    faults
}

/// Returns the faults that depend on the state that the note follows.
fn state_faults(
    state: &state_in_force::StateInForce,
    note: &release_note::ReleaseNote,
) -> Vec<note_fault::NoteFault> {
    let mut faults = Vec::new();
    let (added, changed, withdrawn) = (&note.added, &note.changed, &note.withdrawn);
    name_faults(
        &state.models,
        &added.models,
        &changed.models,
        &withdrawn.models,
        &mut faults,
    );
    name_faults(
        &state.engines,
        &added.engines,
        &changed.engines,
        &withdrawn.engines,
        &mut faults,
    );
    name_faults(
        &state.services,
        &added.services,
        &changed.services,
        &withdrawn.services,
        &mut faults,
    );
    name_faults(
        &state.servers,
        &added.servers,
        &changed.servers,
        &withdrawn.servers,
        &mut faults,
    );
    name_faults(
        &state.classes,
        &added.classes,
        &changed.classes,
        &withdrawn.classes,
        &mut faults,
    );
    name_faults(
        &state.workspaces,
        &added.workspaces,
        &changed.workspaces,
        &withdrawn.workspaces,
        &mut faults,
    );
    faults
}

fn header_faults(note: &release_note::ReleaseNote) -> Vec<note_fault::NoteFault> {
    let mut details = Vec::new();
    if note.revision == ids::Revision(0) {
        details.push("the revision must be at least 1");
    }
    if note.base && (!note.changed.is_empty() || !note.withdrawn.is_empty()) {
        details.push("a base note may only contain entries under `added`");
    }
    if note.part.is_some() && !note.base {
        details.push("only a base note may be split into parts");
    }
    if note.part.is_some_and(|part| {
        part.number == 0 || part.number > part.count || part.count > crate::PART_LIMIT
    }) {
        details.push("the part number must be between 1 and the count, and the count at most 64");
    }
    details
        .into_iter()
        .map(|detail| {
            note_fault::NoteFault::whole(refusal_reason::RefusalReason::InvalidHeader {
                detail: detail.to_owned(),
            })
        })
        .collect()
}

/// Appends a fault for each name that is added although it exists, changed or withdrawn although it
/// doesn't exist, or listed twice.
fn name_faults<Entry: note_entry::NoteEntry>(
    map: &entry_map::EntryMap<Entry::Name, Entry>,
    added: &[Entry],
    changed: &[Entry],
    withdrawn: &[Entry::Name],
    faults: &mut Vec<note_fault::NoteFault>,
) {
    let mut seen = collections::BTreeSet::new();
    let names = added
        .iter()
        .map(|entry| (note_section::NoteSection::Added, entry.name()))
        .chain(
            changed
                .iter()
                .map(|entry| (note_section::NoteSection::Changed, entry.name())),
        )
        .chain(
            withdrawn
                .iter()
                .map(|name| (note_section::NoteSection::Withdrawn, name)),
        );
    for (section, name) in names {
        let location = fault_location::FaultLocation {
            section,
            kind: Entry::KIND,
            name: name.to_string(),
            field: None,
        };
        let (key, name_text) = (location.key(), name.to_string());
        let exists = map.contains_key(name);
        let is_added = section == note_section::NoteSection::Added;
        let reason = if !seen.insert(name) {
            refusal_reason::RefusalReason::Duplicate {
                key,
                name: name_text,
            }
        } else if is_added && exists {
            refusal_reason::RefusalReason::AlreadyExists {
                key,
                name: name_text,
            }
        } else if !is_added && !exists {
            refusal_reason::RefusalReason::DanglingReference {
                key,
                name: name_text,
            }
        } else {
            continue;
        };
        faults.push(note_fault::NoteFault {
            location: Some(location),
            reason,
        });
    }
}
