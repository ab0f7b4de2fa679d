//! Validation of a note against the state in force.

use std::collections;

use crate::{
    entry_map, fault_place, note_entry, note_fault, note_section, range_check, reference_check,
    refusal_reason, release_note, state_in_force,
};

/// Returns every fault of `note` when it is to follow `state`; the same on every instance.
#[must_use]
pub fn faults(
    state: &state_in_force::StateInForce,
    note: &release_note::ReleaseNote,
) -> Vec<note_fault::NoteFault> {
    judge(state, note).0
}

/// Returns every fault of `note` and the state that it would bring into force after `state`.
pub(crate) fn judge(
    state: &state_in_force::StateInForce,
    note: &release_note::ReleaseNote,
) -> (Vec<note_fault::NoteFault>, state_in_force::StateInForce) {
    let empty = state_in_force::StateInForce::default();
    let before = if note.base { &empty } else { state };
    let after = before.fold(note);
    let mut faults = shape_faults(note);
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
    faults.extend(content_faults(before, note));
    faults.extend(reference_check::faults(&after, note));
    (faults, after)
}

/// Returns the faults that show in the note alone.
pub(crate) fn shape_faults(note: &release_note::ReleaseNote) -> Vec<note_fault::NoteFault> {
    let mut faults = base_faults(note);
    faults.extend(range_check::faults(note));
    faults
}

/// Returns the faults that depend on the state the note follows.
fn content_faults(
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

fn base_faults(note: &release_note::ReleaseNote) -> Vec<note_fault::NoteFault> {
    let mut details = Vec::new();
    if note.revision == ids::Revision(0) {
        details.push("revisions count from one");
    }
    if note.base && (!note.changed.is_empty() || !note.withdrawn.is_empty()) {
        details.push("a base note only adds");
    }
    if note.part.is_some() && !note.base {
        details.push("only a base note may be divided into parts");
    }
    if note.part.is_some_and(|part| {
        part.number == 0 || part.number > part.count || part.count > crate::PART_LIMIT
    }) {
        details.push("the number of a part must lie between one and the count, at most 64");
    }
    details
        .into_iter()
        .map(|detail| {
            note_fault::NoteFault::whole(refusal_reason::RefusalReason::WrongBase {
                detail: detail.to_owned(),
            })
        })
        .collect()
}

/// Finds names that are added though they exist, or used though they don't, or used twice.
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
        let place = fault_place::FaultPlace {
            section,
            kind: Entry::KIND,
            name: name.to_string(),
            field: None,
        };
        let (key, name_text) = (place.key(), name.to_string());
        let exists = map.contains_key(name);
        let adds = section == note_section::NoteSection::Added;
        let reason = if !seen.insert(name) {
            refusal_reason::RefusalReason::Duplicate {
                key,
                name: name_text,
            }
        } else if adds && exists {
            refusal_reason::RefusalReason::AlreadyExists {
                key,
                name: name_text,
            }
        } else if !adds && !exists {
            refusal_reason::RefusalReason::DanglingReference {
                key,
                name: name_text,
            }
        } else {
            continue;
        };
        faults.push(note_fault::NoteFault {
            place: Some(place),
            reason,
        });
    }
}
