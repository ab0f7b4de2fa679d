//! The stand-in engines of one site.

use std::{net, sync};

use clock::ClockSource as _;
use tokio::sync::{oneshot, watch};

use crate::{
    answer_plan, engine_model, engine_slot, fleet_state, prefill_ledger, stand_clock, token_record,
};

/// The stand-in engines of one site, with the transfers between them.
pub struct EngineFleet {
    clock: stand_clock::StandClock,
    state: sync::Mutex<fleet_state::FleetState>,
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
        read: impl FnOnce(&engine_slot::EngineSlot, clock::Timestamp) -> Value,
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
            &mut fleet_state::FleetState,
            &mut engine_slot::EngineSlot,
            clock::Timestamp,
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

    fn advance(&self) -> clock::Timestamp {
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
            .unwrap_or(clock::Timestamp::MAX)
    }

    fn lock(&self) -> sync::MutexGuard<'_, fleet_state::FleetState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
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
