//! The stand-in engines of one site.

use std::{collections::BTreeMap, net, sync};

use clock::ClockSource as _;
use tokio::sync::{oneshot, watch};

use crate::{answer_plan, engine_model, engine_slot, prefill_ledger, stand_clock, token_record};

/// What the engines of a fleet share.
#[derive(Default)]
struct FleetState {
    engines: BTreeMap<net::SocketAddr, engine_slot::EngineSlot>,
    plans: BTreeMap<ids::RequestId, answer_plan::AnswerPlan>,
    ledger: prefill_ledger::PrefillLedger,
}

/// The stand-in engines of one site, with the transfers between them.
pub struct EngineFleet {
    clock: stand_clock::StandClock,
    state: sync::Mutex<FleetState>,
    changed: tokio::sync::Notify,
}

impl EngineFleet {
    /// Makes a fleet without engines and starts the task that lets its time pass.
    #[must_use]
    pub fn start() -> sync::Arc<Self> {
        let fleet = sync::Arc::new(Self {
            clock: stand_clock::StandClock::start(),
            state: sync::Mutex::default(),
            changed: tokio::sync::Notify::new(),
        });
        tokio::spawn(drive(sync::Arc::downgrade(&fleet)));
        fleet
    }

    /// Returns the prompts that were read.
    #[must_use]
    pub fn ledger(&self) -> prefill_ledger::PrefillLedger {
        self.lock().ledger.clone()
    }

    /// Returns the pieces of engine memory that living engines hold.
    #[must_use]
    pub fn held_pieces(&self) -> u32 {
        let state = self.lock();
        state
            .engines
            .values()
            .map(|slot| slot.model.held_pieces())
            .sum()
    }

    /// Returns the work that living engines hold.
    #[must_use]
    pub fn running(&self) -> Vec<border::RunningEntry> {
        let now = self.clock.now();
        let state = self.lock();
        state
            .engines
            .values()
            .flat_map(|slot| slot.model.running(now))
            .collect()
    }

    pub(crate) fn insert(&self, address: net::SocketAddr, slot: engine_slot::EngineSlot) {
        self.lock().engines.insert(address, slot);
    }

    pub(crate) fn remove(&self, address: net::SocketAddr) {
        self.lock().engines.remove(&address);
    }

    pub(crate) fn prefill(
        &self,
        engine: net::SocketAddr,
        job: &border::PrefillJob,
    ) -> Result<oneshot::Receiver<border::PrefillResult>, engine_model::ModelError> {
        let key = work_key(job.request, job.attempt);
        let work = engine_model::PrefillWork::builder()
            .key(key)
            .entry(job.entry)
            .prompt_tokens(border::token_estimate(&job.prompt))
            .blocks(border::prefix_blocks(&job.prompt))
            .priority(job.priority)
            .build();
        let (sender, receiver) = oneshot::channel();
        self.with(engine, |state, slot, now, events| {
            if let Some(result) = slot.results.get(&key) {
                // The receiver is returned below, so that sending can't fail.
                let _ = sender.send(result.clone());
                return Ok(receiver);
            }
            match slot.model.prefill(now, work, events) {
                // A repeat attaches to the work under way.
                Ok(()) | Err(engine_model::ModelError::Repeated) => {}
                Err(error) => return Err(error),
            }
            slot.prefills.entry(key).or_default().push(sender);
            let plan = answer_plan::AnswerPlan::of_prompt(&job.prompt);
            state.plans.entry(job.request).or_insert(plan);
            Ok(receiver)
        })
    }

    pub(crate) fn import(
        &self,
        engine: net::SocketAddr,
        job: &border::TransferJob,
    ) -> Result<oneshot::Receiver<()>, engine_model::ModelError> {
        let key = work_key(job.request, job.attempt);
        let work = engine_model::ImportWork::builder()
            .key(key)
            .entry(job.entry)
            .kv_handle(job.kv_handle)
            .prompt_tokens(job.prompt_tokens)
            .kv_pieces(job.kv_pieces)
            .build();
        let (sender, receiver) = oneshot::channel();
        self.with(engine, |_, slot, now, events| {
            if slot.imported.contains(&key) {
                // The receiver is returned below, so that sending can't fail.
                let _ = sender.send(());
                return Ok(receiver);
            }
            match slot.model.import(now, work, events) {
                // A repeat attaches to the work under way.
                Ok(()) | Err(engine_model::ModelError::Repeated) => {}
                Err(error) => return Err(error),
            }
            slot.imports.entry(key).or_default().push(sender);
            slot.sources.insert(key, (job.source, job.kv_handle));
            Ok(receiver)
        })
    }

    pub(crate) fn decode(
        &self,
        engine: net::SocketAddr,
        job: &border::DecodeJob,
    ) -> Result<
        (
            answer_plan::AnswerPlan,
            watch::Receiver<token_record::TokenCount>,
        ),
        engine_model::ModelError,
    > {
        let key = work_key(job.request, job.attempt);
        self.with(engine, |state, slot, now, events| {
            let plan = state
                .plans
                .get(&job.request)
                .cloned()
                .ok_or(engine_model::ModelError::Gone)?;
            if let Some(record) = slot.records.get(&key) {
                return Ok((plan, record.follow()));
            }
            let work = engine_model::DecodeWork::builder()
                .key(key)
                .output_tokens(plan.output_tokens)
                .max_tokens(job.max_tokens)
                .offset(job.offset)
                .build();
            slot.model.decode(now, &work, events)?;
            let record = token_record::TokenRecord::new();
            let receiver = record.follow();
            slot.records.insert(key, record);
            Ok((plan, receiver))
        })
    }

    pub(crate) fn cancel(
        &self,
        engine: net::SocketAddr,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
    ) {
        let key = work_key(request, attempt);
        // Only a dead engine fails here, and it has freed its memory.
        let _ = self.with(engine, |_, slot, now, events| {
            slot.model.cancel(now, key, events);
            slot.forget(key);
            Ok(())
        });
    }

    pub(crate) fn order(
        &self,
        engine: net::SocketAddr,
        order: border::EngineOrder,
    ) -> Result<border::OrderAnswer, engine_model::ModelError> {
        self.with(engine, |_, slot, _, _| Ok(slot.order(order)))
    }

    /// Reads from the model of an engine.
    pub(crate) fn read<Value>(
        &self,
        engine: net::SocketAddr,
        read: impl FnOnce(&engine_slot::EngineSlot, clock::Moment) -> Value,
    ) -> Result<Value, engine_model::ModelError> {
        self.with(engine, |_, slot, now, events| {
            slot.model.advance(now, events);
            Ok(read(slot, now))
        })
    }

    fn with<Value>(
        &self,
        engine: net::SocketAddr,
        work: impl FnOnce(
            &mut FleetState,
            &mut engine_slot::EngineSlot,
            clock::Moment,
            &mut Vec<engine_model::EngineEvent>,
        ) -> Result<Value, engine_model::ModelError>,
    ) -> Result<Value, engine_model::ModelError> {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut slot = state
            .engines
            .remove(&engine)
            .ok_or(engine_model::ModelError::Gone)?;
        let mut events = Vec::new();
        let result = work(&mut state, &mut slot, now, &mut events);
        state.engines.insert(engine, slot);
        state.settle(now, vec![(engine, events)]);
        drop(state);
        self.changed.notify_one();
        result
    }

    fn advance(&self) -> clock::Moment {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut happened = Vec::new();
        for (engine, slot) in &mut state.engines {
            let mut events = Vec::new();
            slot.model.advance(now, &mut events);
            happened.push((*engine, events));
        }
        state.settle(now, happened);
        state
            .engines
            .values()
            .map(|slot| slot.model.next_wake())
            .min()
            .unwrap_or(clock::Moment::MAX)
    }

    fn lock(&self) -> sync::MutexGuard<'_, FleetState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl FleetState {
    /// Passes events on, with those that they cause, until none is left.
    fn settle(
        &mut self,
        now: clock::Moment,
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
        now: clock::Moment,
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
        now: clock::Moment,
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
        now: clock::Moment,
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

async fn drive(fleet: sync::Weak<EngineFleet>) {
    loop {
        let Some(fleet) = fleet.upgrade() else {
            return;
        };
        let wake = fleet.advance();
        let until = fleet.clock.instant(wake);
        tokio::select! {
            () = tokio::time::sleep_until(until) => {}
            () = fleet.changed.notified() => {}
        }
    }
}

const fn work_key(request: ids::RequestId, attempt: ids::AttemptNumber) -> engine_model::WorkKey {
    engine_model::WorkKey { request, attempt }
}
