//! Tests of the division of engines into cells and of the cell owners.

use std::{collections, sync};

use proptest::prelude::*;

use crate::common;

fn state_of(numbers: impl IntoIterator<Item = u32>) -> note::StateInForce {
    let mut state = note::StateInForce::default();
    for number in numbers {
        let name = format!("engine-{number}");
        let mut entry = common::engine(&name, note::EngineRole::Flexible);
        entry.data_centre = format!("dc-{}", number % 3).into();
        state.engines.insert(name.as_str().into(), entry);
    }
    state
}

fn by_id(cells: Vec<place::cell::Cell>) -> collections::BTreeMap<ids::CellId, place::cell::Cell> {
    cells.into_iter().map(|cell| (cell.id, cell)).collect()
}

#[test]
fn new_engine_changes_only_its_own_cell() {
    let before = by_id(place::cell::cells(&state_of(0..1_500)));

    let after = by_id(place::cell::cells(&state_of(0..1_501)));

    let changed = after
        .iter()
        .filter(|(id, cell)| before.get(id) != Some(cell))
        .count();
    // A cell that exceeds the limit is replaced by two cells.
    assert!(changed <= 2, "{changed} cells changed");
    assert!(
        after
            .values()
            .all(|cell| cell.engines.len() <= place::cell::CELL_ENGINE_LIMIT)
    );
}

#[test]
fn owner_is_in_data_centre_with_most_engines() {
    let cells = place::cell::cells(&common::state());
    let mut view = common::view(member::MemberState::Alive);
    for (id, centre) in [(3, "dc-1"), (4, "dc-2"), (5, "dc-2")] {
        let mut member = view.members[&common::OWNER].clone();
        member.instance.id = ids::InstanceId(id);
        member.instance.data_centre = centre.into();
        view.members.insert(ids::InstanceId(id), member);
    }

    let owner = place::cell::owner(&cells[0], &view);

    assert!([Some(common::OWNER), Some(ids::InstanceId(3))].contains(&owner));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn incremental_cells_match_recomputed_cells(
        changes in prop::collection::vec(prop::collection::btree_set(0_u32..300, 0..250), 1..8),
    ) {
        let mut map = place::CellMap::default();

        for numbers in changes {
            let state = sync::Arc::new(state_of(numbers));
            map.update(&state);

            prop_assert_eq!(map.cells().clone(), by_id(place::cell::cells(&state)));
        }
    }
}
