//! What the engines of a fleet share.

use std::{collections, net};

use crate::{answer_plan, engine_model, engine_slot, prefill_ledger};

/// What the engines of a fleet share.
#[derive(Default)]
pub(crate) struct FleetState {
    pub(crate) engines: collections::BTreeMap<net::SocketAddr, engine_slot::EngineSlot>,
    pub(crate) plans: collections::BTreeMap<ids::RequestId, answer_plan::AnswerPlan>,
    pub(crate) ledger: prefill_ledger::PrefillLedger,
}

impl FleetState {
    /// Passes events on, with those that they cause, until none is left.
    pub(crate) fn settle(
        &mut self,
        now: clock::Timestamp,
        mut happened: Vec<(net::SocketAddr, Vec<engine_model::EngineEvent>)>,
    ) {
        while let Some((engine, events)) = happened.pop() {
            for event in events {
                let caused = self.pass_on(now, engine, event);
                happened.extend(caused);
            }
        }
    }

    fn pass_on(
        &mut self,
        now: clock::Timestamp,
        engine: net::SocketAddr,
        event: engine_model::EngineEvent,
    ) -> Option<(net::SocketAddr, Vec<engine_model::EngineEvent>)> {
        match event {
            engine_model::EngineEvent::Pull(key, handle) => self.pull(now, engine, key, handle),
            engine_model::EngineEvent::Exported(handle) => self.sent(now, engine, handle),
            engine_model::EngineEvent::Prefilled(key, result) => {
                self.ledger.note(key.request, &result);
                let slot = self.engines.get_mut(&engine)?;
                for waiter in slot.prefills.remove(&key).into_iter().flatten() {
                    // Whoever asked may be gone; the result is then dropped later.
                    let _ = waiter.send(result.clone());
                }
                slot.results.insert(key, result);
                None
            }
            engine_model::EngineEvent::Imported(key) => {
                let slot = self.engines.get_mut(&engine)?;
                for waiter in slot.imports.remove(&key).into_iter().flatten() {
                    // Whoever asked may be gone; the work is then cancelled later.
                    let _ = waiter.send(());
                }
                slot.imported.insert(key);
                None
            }
            engine_model::EngineEvent::Token {
                key,
                offset,
                finish,
            } => {
                let slot = self.engines.get_mut(&engine)?;
                slot.records.get(&key)?.note(offset, finish);
                None
            }
            engine_model::EngineEvent::Dropped(key) => {
                self.engines.get_mut(&engine)?.results.remove(&key);
                None
            }
        }
    }

    fn pull(
        &mut self,
        now: clock::Timestamp,
        engine: net::SocketAddr,
        key: engine_model::WorkKey,
        handle: u64,
    ) -> Option<(net::SocketAddr, Vec<engine_model::EngineEvent>)> {
        let (source, _) = *self.engines.get(&engine)?.sources.get(&key)?;
        let mut events = Vec::new();
        let exported = self
            .engines
            .get_mut(&source)
            .map(|slot| slot.model.export(now, handle, &mut events));
        if let Some(Ok(())) = exported {
            return Some((source, events));
        }
        let slot = self.engines.get_mut(&engine)?;
        slot.model.cancel(now, key, &mut events);
        slot.forget(key);
        Some((engine, events))
    }

    fn sent(
        &mut self,
        now: clock::Timestamp,
        source: net::SocketAddr,
        handle: u64,
    ) -> Option<(net::SocketAddr, Vec<engine_model::EngineEvent>)> {
        let (engine, key) = self.engines.iter().find_map(|(engine, slot)| {
            slot.sources
                .iter()
                .find(|(_, from)| **from == (source, handle))
                .map(|(key, _)| (*engine, *key))
        })?;
        let mut events = Vec::new();
        let slot = self.engines.get_mut(&engine)?;
        slot.model.source_sent(now, key, &mut events);
        slot.sources.remove(&key);
        Some((engine, events))
    }
}
