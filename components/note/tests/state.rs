//! Properties of the state in force: its parts, its digest and the refusal of notes.

use std::sync;

use proptest::prelude::{ProptestConfig, Strategy, any, prop, proptest};

fn workspace(name: u8, weight: u32) -> note::WorkspaceEntry {
    note::WorkspaceEntry {
        name: format!("desk-{name}").as_str().into(),
        weight,
        in_flight_limit: 8,
    }
}

/// Returns a note that adds, changes or withdraws workspaces of `state`.
///
/// A change is the number of a workspace and its new weight; `None` withdraws the workspace.
fn note_with_changes(
    state: &note::StateInForce,
    changes: &[(u8, Option<u32>)],
) -> note::ReleaseNote {
    let mut note = note::ReleaseNote {
        revision: state.revision.next(),
        ..Default::default()
    };
    let changes: std::collections::BTreeMap<_, _> = changes.iter().copied().collect();
    for (name, weight) in changes {
        let entry = workspace(name, weight.unwrap_or(1));
        let exists = state.workspaces.contains_key(&entry.name);
        match weight {
            Some(_) if exists => note.changed.workspaces.push(entry),
            Some(_) => note.added.workspaces.push(entry),
            None if exists => note.withdrawn.workspaces.push(entry.name),
            None => {}
        }
    }
    note
}

fn changes() -> impl Strategy<Value = Vec<Vec<(u8, Option<u32>)>>> {
    let change = (0_u8..12, any::<bool>(), 1_u32..5)
        .prop_map(|(name, keep, weight)| (name, keep.then_some(weight)));
    prop::collection::vec(prop::collection::vec(change, 0..5), 1..12)
}

fn state_after(history: &[Vec<(u8, Option<u32>)>]) -> note::StateInForce {
    history
        .iter()
        .fold(note::StateInForce::default(), |state, changes| {
            state
                .apply(&note_with_changes(&state, changes))
                .expect("the note is valid")
        })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn joins_the_parts_of_a_split_state_in_any_order(
        history in changes(),
        limit in 1_usize..400,
        rotation in 0_usize..8,
    ) {
        let state = state_after(&history);

        let mut texts = note::split(&state, limit).expect("the state is serializable");
        let rotation = rotation % texts.len();
        texts.rotate_left(rotation);
        let joined = note::join(&texts).expect("all parts are present");

        assert_eq!(joined, state);
        assert_eq!(joined.digest(), state.digest());
    }

    #[test]
    fn digest_depends_on_the_state_and_not_on_its_history(
        first in changes(),
        second in changes(),
    ) {
        let mut first = state_after(&first);
        let second = state_after(&second);
        first.revision = second.revision;

        assert_eq!(first.digest() == second.digest(), first == second);
    }

    #[test]
    fn refused_note_does_not_change_the_state(history in changes(), name in 0_u8..12) {
        let state = state_after(&history);
        let digest = state.digest();
        let mut note = note_with_changes(&state, &[(name, Some(3))]);
        note.withdrawn.models.push("unheard-of".into());

        state.apply(&note).expect_err("the note is refused");

        assert_eq!(state.digest(), digest);
    }
}

#[test]
fn rejects_a_base_note_with_a_missing_part() {
    let state = state_after(&[vec![(1, Some(1)), (2, Some(1)), (3, Some(1))]]);
    let texts: Vec<sync::Arc<str>> = note::split(&state, 1).expect("the state is serializable");

    let error = note::join(&texts[1..]).expect_err("a part is missing");

    assert!(matches!(error, note::NoteError::PartsMissing));
}
