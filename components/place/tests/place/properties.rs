//! Properties that hold for any order of events.

use std::collections;

use proptest::prelude::*;

use crate::common;

/// Leases that an engine may have beyond its slots, granted ahead of those that end.
const AHEAD: usize = 1;

/// One step of a history.
#[derive(Clone, Debug)]
enum HistoryStep {
    Ask(u128, u32),
    Withdraw(u128),
    News(usize, u8),
    Retarget(usize),
    List(bool, Vec<u128>),
    Pass(u64),
}

fn any_step() -> impl Strategy<Value = HistoryStep> {
    prop_oneof![
        4 => (0_u128..30, 500_u32..5_000).prop_map(|(request, tokens)| HistoryStep::Ask(request, tokens)),
        1 => (0_u128..30).prop_map(HistoryStep::Withdraw),
        6 => (0_usize..40, 0_u8..6).prop_map(|(lease, phase)| HistoryStep::News(lease, phase)),
        1 => (0_usize..40).prop_map(HistoryStep::Retarget),
        1 => (any::<bool>(), prop::collection::vec(0_u128..60, 0..4))
            .prop_map(|(up, list)| HistoryStep::List(up, list)),
        3 => (1_u64..400).prop_map(HistoryStep::Pass),
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

fn take_step(
    site: &mut common::Site,
    granted: &[place::Placement],
    step: HistoryStep,
) -> Vec<place::Output> {
    match step {
        HistoryStep::Ask(request, tokens) => site.place(request, tokens),
        HistoryStep::Withdraw(request) => {
            let work = common::work(request);
            let message = place::Message::Withdraw(work.request, work.attempt);
            site.give(place::Input::Message(common::ENTRY, message))
        }
        HistoryStep::News(index, number) => match granted.get(index) {
            Some(placed) => site.update(placed.lease, placed.request, phase(number)),
            None => Vec::new(),
        },
        HistoryStep::Retarget(index) => match granted.get(index) {
            Some(placed) => {
                let ask = place::RetargetAsk {
                    lease: placed.lease,
                    request: placed.request,
                    attempt: placed.attempt.next(),
                    failed: placed.decode.clone(),
                    retained_for: std::time::Duration::from_millis(500),
                };
                let message = place::Message::Retarget(ask);
                site.give(place::Input::Message(common::ENTRY, message))
            }
            None => Vec::new(),
        },
        HistoryStep::List(up, requests) => {
            let list = requests.into_iter().map(common::running).collect();
            site.give(place::Input::Running("decode-a".into(), up.then_some(list)))
        }
        HistoryStep::Pass(millis) => site.pass(millis),
    }
}

fn check_counts(cell_state: &place::CellBook) -> Result<(), TestCaseError> {
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
        prop_assert!(held.len() <= common::SLOTS as usize + AHEAD);
        let ending = held
            .iter()
            .filter_map(|lease| cell_state.lease(*lease))
            .filter(|lease| lease.phase == place::LeasePhase::Decode);
        let ending_pieces = ending.map(|lease| lease.kv_pieces).max();
        prop_assert!(pieces <= common::PIECES + AHEAD as u32 * ending_pieces.unwrap_or(0).max(3));
        for planned in &engine.prefills {
            prop_assert!(cell_state.lease(planned.lease).is_some());
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn any_order_of_late_crossed_and_repeated_messages_keeps_the_counts(
        steps in prop::collection::vec(any_step(), 1..150),
    ) {
        let mut site = common::idle_owner();
        let mut granted: Vec<place::Placement> = Vec::new();
        let mut refused = collections::BTreeMap::new();

        for step in steps {
            let is_retarget = matches!(step, HistoryStep::Retarget(_));
            let outputs = take_step(&mut site, &granted, step);
            for (request, reason) in common::refusals(&outputs) {
                let placed = granted.iter().any(|placed| placed.request == request);
                prop_assert!(!placed || is_retarget, "{request} was placed, then refused");
                refused.insert(request, reason);
            }
            granted.extend(common::placements(&outputs));
            check_counts(site.cell_state())?;
        }

        for placed in granted.clone() {
            site.update(placed.lease, placed.request, place::LeasePhase::Released);
            site.update(placed.lease, placed.request, place::LeasePhase::Released);
        }
        check_counts(site.cell_state())?;
        for placed in &granted {
            prop_assert!(site.cell_state().lease_of_id(placed.lease).is_none());
        }
    }

    #[test]
    fn a_cautious_owner_never_grants_a_slot_that_is_held(
        requests in prop::collection::vec((0_u128..100, 500_u32..5_000), 1..40),
        held in 0_u128..5,
    ) {
        let mut site = common::new_owner();
        let list: Vec<_> = (1_000..1_000 + held).map(common::running).collect();
        for name in ["prefill-a", "decode-a", "decode-b"] {
            let list = if name == "decode-a" { list.clone() } else { Vec::new() };
            site.give(place::Input::Running(name.into(), Some(list)));
        }

        for (request, tokens) in requests {
            site.place(request, tokens);
            site.pass(20);
        }

        for (_, engine) in site.cell_state().engines() {
            prop_assert!(engine.held_slots() <= common::SLOTS.max(held as u32));
            prop_assert!(engine.held_pieces() <= common::PIECES);
        }
    }
}
