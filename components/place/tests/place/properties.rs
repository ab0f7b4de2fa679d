//! Properties of the owner's state that hold for any order of events.

use std::collections;

use proptest::prelude::*;

use crate::common;

/// Leases that an engine may hold beyond its slots, granted before a running stream completes.
const PREGRANTED_LEASES: usize = 1;

/// One event of a generated history.
#[derive(Clone, Debug)]
enum HistoryStep {
    Request(u128, u32),
    Withdraw(u128),
    Update(usize, u8),
    Retarget(usize),
    RunningList(bool, Vec<u128>),
    Advance(u64),
}

fn any_step() -> impl Strategy<Value = HistoryStep> {
    prop_oneof![
        4 => (0_u128..30, 500_u32..5_000).prop_map(|(request, tokens)| HistoryStep::Request(request, tokens)),
        1 => (0_u128..30).prop_map(HistoryStep::Withdraw),
        6 => (0_usize..40, 0_u8..6).prop_map(|(lease, phase)| HistoryStep::Update(lease, phase)),
        1 => (0_usize..40).prop_map(HistoryStep::Retarget),
        1 => (any::<bool>(), prop::collection::vec(0_u128..60, 0..4))
            .prop_map(|(up, list)| HistoryStep::RunningList(up, list)),
        3 => (1_u64..400).prop_map(HistoryStep::Advance),
    ]
}

fn phase(number: u8) -> place::LeasePhase {
    [
        place::LeasePhase::Granted,
        place::LeasePhase::Prefill,
        place::LeasePhase::Transfer,
        place::LeasePhase::Decode,
        place::LeasePhase::Released,
        place::LeasePhase::Failed,
    ][usize::from(number)]
}

fn apply_step(
    fixture: &mut common::OwnerFixture,
    granted: &[place::Placement],
    step: HistoryStep,
) -> Vec<place::Output> {
    match step {
        HistoryStep::Request(request, tokens) => fixture.place(request, tokens),
        HistoryStep::Withdraw(request) => {
            let work = common::work(request);
            let message = place::Message::Withdraw(work.request, work.attempt);
            fixture.handle(place::Input::Message(common::ENTRY, message))
        }
        HistoryStep::Update(index, number) => match granted.get(index) {
            Some(placed) => fixture.update(placed.lease, placed.request, phase(number)),
            None => Vec::new(),
        },
        HistoryStep::Retarget(index) => match granted.get(index) {
            Some(placed) => {
                let retarget_request = place::RetargetRequest {
                    lease: placed.lease,
                    request: placed.request,
                    attempt: placed.attempt.next(),
                    failed: placed.decode.clone(),
                    retained_for: std::time::Duration::from_millis(500),
                };
                let message = place::Message::Retarget(retarget_request);
                fixture.handle(place::Input::Message(common::ENTRY, message))
            }
            None => Vec::new(),
        },
        HistoryStep::RunningList(up, requests) => {
            let list = requests.into_iter().map(common::running).collect();
            fixture.handle(place::Input::Running("decode-a".into(), up.then_some(list)))
        }
        HistoryStep::Advance(millis) => fixture.advance(millis),
    }
}

fn check_counts(cell_state: &place::CellState) -> Result<(), TestCaseError> {
    for (key, engine) in cell_state.engines() {
        let held: collections::BTreeSet<place::LeaseKey> = cell_state
            .leases()
            .filter(|(_, lease)| lease.decode == key)
            .map(|(lease, _)| lease)
            .collect();
        let pieces: u32 = cell_state
            .leases()
            .filter(|(_, lease)| lease.decode == key)
            .map(|(_, lease)| lease.kv_pieces)
            .sum();
        prop_assert_eq!(&engine.decodes, &held);
        prop_assert_eq!(engine.leased_pieces, pieces);
        prop_assert!(held.len() <= common::SLOTS as usize + PREGRANTED_LEASES);
        let decoding = held
            .iter()
            .filter_map(|lease| cell_state.lease(*lease))
            .filter(|lease| lease.phase == place::LeasePhase::Decode);
        let decoding_pieces = decoding.map(|lease| lease.kv_pieces).max();
        // The largest generated request has up to 5,200 tokens, which need 3 pieces.
        prop_assert!(
            pieces
                <= common::PIECES + PREGRANTED_LEASES as u32 * decoding_pieces.unwrap_or(0).max(3)
        );
        for planned in &engine.prefills {
            prop_assert!(cell_state.lease(planned.lease).is_some());
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn reordered_and_duplicate_messages_keep_counts_consistent(
        steps in prop::collection::vec(any_step(), 1..150),
    ) {
        let mut fixture = common::idle_owner();
        let mut granted: Vec<place::Placement> = Vec::new();
        let mut refused = collections::BTreeMap::new();

        for step in steps {
            let is_retarget = matches!(step, HistoryStep::Retarget(_));
            let outputs = apply_step(&mut fixture, &granted, step);
            for (request, reason) in common::refusals(&outputs) {
                let placed = granted.iter().any(|placed| placed.request == request);
                prop_assert!(!placed || is_retarget, "{request} was placed, then refused");
                refused.insert(request, reason);
            }
            granted.extend(common::placements(&outputs));
            check_counts(fixture.cell_state())?;
        }

        for placed in granted.clone() {
            fixture.update(placed.lease, placed.request, place::LeasePhase::Released);
            fixture.update(placed.lease, placed.request, place::LeasePhase::Released);
        }
        check_counts(fixture.cell_state())?;
        for placed in &granted {
            prop_assert!(fixture.cell_state().lease_of_id(placed.lease).is_none());
        }
    }

    #[test]
    fn recovering_owner_never_grants_held_slot(
        requests in prop::collection::vec((0_u128..100, 500_u32..5_000), 1..40),
        held in 0_u128..5,
    ) {
        let mut fixture = common::new_owner();
        let list: Vec<_> = (1_000..1_000 + held).map(common::running).collect();
        for name in ["prefill-a", "decode-a", "decode-b"] {
            let list = if name == "decode-a" { list.clone() } else { Vec::new() };
            fixture.handle(place::Input::Running(name.into(), Some(list)));
        }

        for (request, tokens) in requests {
            fixture.place(request, tokens);
            fixture.advance(20);
        }

        for (_, engine) in fixture.cell_state().engines() {
            prop_assert!(engine.held_slots() <= common::SLOTS.max(held as u32));
            prop_assert!(engine.held_pieces() <= common::PIECES);
        }
    }
}
