//! The model of one engine.

use std::{collections, time};

use crate::engine_model::{
    cache_log, decode_batch, decode_stream, engine_event, engine_figures, import_work, link_share,
    load_log, model_error, prefill_queue, prefill_work, prefix_cache, retained_cache, work_key,
};

/// One end of a transfer on the engine's link.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum LinkKey {
    Export(u64),
    Import(work_key::WorkKey),
}

/// The model of one engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    pub(super) figures: engine_figures::EngineFigures,
    pub(super) prefills: prefill_queue::PrefillQueue,
    pub(super) retained: collections::BTreeMap<u64, retained_cache::RetainedCache>,
    pub(super) batch: decode_batch::DecodeBatch,
    pub(super) link: link_share::LinkShare<LinkKey>,
    pub(super) cache: prefix_cache::PrefixCache,
    pub(super) changes: cache_log::CacheLog,
    pub(super) loads: load_log::LoadLog,
    pub(super) handles: u64,
    arrivals: u64,
}

impl EngineModel {
    /// Makes an idle engine.
    #[must_use]
    pub fn new(figures: engine_figures::EngineFigures) -> Self {
        Self {
            prefills: prefill_queue::PrefillQueue::default(),
            retained: collections::BTreeMap::new(),
            batch: decode_batch::DecodeBatch::default(),
            link: link_share::LinkShare::new(figures.link_tokens_per_second),
            cache: prefix_cache::PrefixCache::new(figures.cache_blocks),
            changes: cache_log::CacheLog::new(
                figures.event_delay,
                figures.event_loss_permille,
                figures.seed,
            ),
            loads: load_log::LoadLog::default(),
            handles: 0,
            arrivals: 0,
            figures,
        }
    }

    /// Returns the figures of the engine.
    #[must_use]
    pub const fn figures(&self) -> &engine_figures::EngineFigures {
        &self.figures
    }

    /// Changes the role; work that the engine holds goes on.
    pub const fn take_role(&mut self, role: note::EngineRole) {
        self.figures.role = role;
    }

    /// Changes the lag of load reports.
    pub const fn lag_reports(&mut self, lag: time::Duration) {
        self.figures.report_lag = lag;
    }

    /// Returns the time of the next event.
    #[must_use]
    pub fn next_wake(&self) -> clock::Timestamp {
        let reading = self.prefills.reading.as_ref().map(|prompt| prompt.until);
        let retained = self.retained.values().map(|cache| cache.until).min();
        [
            reading,
            retained,
            self.batch.step_end,
            Some(self.link.next_wake()),
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(clock::Timestamp::MAX)
    }

    /// Lets time pass until `now` and appends what happens to `events`.
    pub fn advance(&mut self, now: clock::Timestamp, events: &mut Vec<engine_event::EngineEvent>) {
        loop {
            let at = self.next_wake();
            if at > now {
                return;
            }
            self.end_prefill(at, events);
            self.drop_late(at, events);
            self.end_transfers(at, events);
            if self.batch.step_end.is_some_and(|end| end <= at) {
                self.batch.end_step(events);
            }
            self.settle(at, events);
        }
    }

    /// Takes a prompt to read.
    ///
    /// # Errors
    ///
    /// Returns why the engine doesn't take the prompt; nothing of it ran then.
    pub fn prefill(
        &mut self,
        now: clock::Timestamp,
        work: prefill_work::PrefillWork,
        events: &mut Vec<engine_event::EngineEvent>,
    ) -> Result<(), model_error::ModelError> {
        self.advance(now, events);
        if self.figures.role == note::EngineRole::Decode {
            return Err(model_error::ModelError::WrongRole);
        }
        if self.prefills.holds(work.key) {
            return Err(model_error::ModelError::Repeated);
        }
        let full = self.prefills.waiting.len() >= self.figures.queue_limit;
        if full || work.kv_pieces() > self.figures.kv_pieces {
            return Err(model_error::ModelError::NoRoom);
        }
        self.prefills.push(now, work);
        self.settle(now, events);
        Ok(())
    }

    /// Begins to send the KV cache of a handle.
    ///
    /// # Errors
    ///
    /// Returns [`model_error::ModelError::Gone`] when it isn't kept any more.
    pub fn export(
        &mut self,
        now: clock::Timestamp,
        handle: u64,
        events: &mut Vec<engine_event::EngineEvent>,
    ) -> Result<(), model_error::ModelError> {
        self.advance(now, events);
        let cache = self
            .retained
            .get_mut(&handle)
            .ok_or(model_error::ModelError::Gone)?;
        cache.until = clock::Timestamp::MAX;
        self.link
            .begin(now, LinkKey::Export(handle), cache.prompt_tokens);
        Ok(())
    }

    /// Asks for the import of a KV cache; it waits for a slot and for memory.
    ///
    /// # Errors
    ///
    /// Returns why the engine doesn't take the import.
    pub fn import(
        &mut self,
        now: clock::Timestamp,
        work: import_work::ImportWork,
        events: &mut Vec<engine_event::EngineEvent>,
    ) -> Result<(), model_error::ModelError> {
        self.advance(now, events);
        if self.figures.role == note::EngineRole::Prefill {
            return Err(model_error::ModelError::WrongRole);
        }
        if self.batch.streams.contains_key(&work.key) {
            return Err(model_error::ModelError::Repeated);
        }
        let waiting = self.batch.streams.len() - self.batch.admitted();
        if waiting >= self.figures.queue_limit || work.kv_pieces > self.figures.kv_pieces {
            return Err(model_error::ModelError::NoRoom);
        }
        self.arrivals += 1;
        self.batch.streams.insert(
            work.key,
            decode_stream::DecodeStream {
                work,
                phase: decode_stream::StreamPhase::Waiting,
                since: now,
                arrival: self.arrivals,
                next_offset: 0,
                end_offset: 0,
                finish: border::FinishReason::Stop,
            },
        );
        self.settle(now, events);
        Ok(())
    }

    /// Learns that the source has sent everything of an import.
    pub fn source_sent(
        &mut self,
        now: clock::Timestamp,
        key: work_key::WorkKey,
        events: &mut Vec<engine_event::EngineEvent>,
    ) {
        self.advance(now, events);
        self.mark_moved(key, true, events);
        self.settle(now, events);
    }

    /// Starts the generation of an imported attempt, or returns where a running one stands.
    ///
    /// The result is the offset of the next token to be generated.
    ///
    /// # Errors
    ///
    /// Returns [`model_error::ModelError::Gone`] when the engine doesn't hold the attempt.
    pub fn decode(
        &mut self,
        now: clock::Timestamp,
        work: &decode_stream::DecodeWork,
        events: &mut Vec<engine_event::EngineEvent>,
    ) -> Result<u32, model_error::ModelError> {
        self.advance(now, events);
        let stream = self
            .batch
            .streams
            .get_mut(&work.key)
            .ok_or(model_error::ModelError::Gone)?;
        match stream.phase {
            decode_stream::StreamPhase::Decoding => return Ok(stream.next_offset),
            decode_stream::StreamPhase::Ready => {}
            _ => return Err(model_error::ModelError::Gone),
        }
        stream.phase = decode_stream::StreamPhase::Decoding;
        stream.next_offset = work.offset;
        stream.end_offset = work.output_tokens.min(work.max_tokens).max(work.offset + 1);
        stream.finish = if work.output_tokens > work.max_tokens {
            border::FinishReason::Length
        } else {
            border::FinishReason::Stop
        };
        let offset = stream.next_offset;
        self.settle(now, events);
        Ok(offset)
    }

    /// Ends all work for an attempt and frees its memory.
    pub fn cancel(
        &mut self,
        now: clock::Timestamp,
        key: work_key::WorkKey,
        events: &mut Vec<engine_event::EngineEvent>,
    ) {
        self.advance(now, events);
        self.prefills.remove(key);
        let handles: Vec<u64> = self
            .retained
            .iter()
            .filter(|(_, cache)| cache.key == key)
            .map(|(handle, _)| *handle)
            .collect();
        for handle in handles {
            self.retained.remove(&handle);
            self.link.remove(now, LinkKey::Export(handle));
        }
        self.batch.streams.remove(&key);
        self.link.remove(now, LinkKey::Import(key));
        self.settle(now, events);
    }

    /// Returns the load as it was some time ago.
    #[must_use]
    pub fn load(&self, now: clock::Timestamp) -> border::LoadReport {
        self.loads.read(now, self.figures.report_lag)
    }

    /// Returns the published cache events after a sequence number.
    #[must_use]
    pub fn cache_events(&self, now: clock::Timestamp, after: u64) -> Vec<border::CacheEvent> {
        self.changes.read(now, after)
    }

    /// Returns the attempts that the engine holds.
    #[must_use]
    pub fn running(&self, now: clock::Timestamp) -> Vec<border::RunningEntry> {
        super::running_list::running_list(now, &self.prefills, &self.retained, &self.batch)
    }

    /// Returns the pieces of engine memory that are held.
    #[must_use]
    pub fn held_pieces(&self) -> u32 {
        let reading = self
            .prefills
            .reading
            .as_ref()
            .map_or(0, |prompt| prompt.work.kv_pieces());
        let retained: u32 = self.retained.values().map(|cache| cache.kv_pieces).sum();
        reading + retained + self.batch.held_pieces()
    }
}
