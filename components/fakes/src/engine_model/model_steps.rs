//! What happens inside an engine as time passes.

use std::time;

use crate::engine_model::{
    decode_stream, engine_event, model, prefill_queue, retained_cache, work_key,
};

/// Shortest time for which past loads are kept.
const LOAD_HISTORY: time::Duration = time::Duration::from_secs(5);

/// Factor by which reading a prompt slows the tokens at the same engine.
const PREFILL_INTERFERENCE: u32 = 2;

impl model::EngineModel {
    pub(super) fn end_prefill(
        &mut self,
        at: clock::Timestamp,
        events: &mut Vec<engine_event::EngineEvent>,
    ) {
        let done = self.prefills.reading.take_if(|prompt| prompt.until <= at);
        let Some(prompt) = done else {
            return;
        };
        let changes = self.cache.store(&prompt.work.blocks);
        self.changes.record(at, &changes);
        self.handles += 1;
        let until = at + self.figures.retention;
        let cache = retained_cache::RetainedCache::new(&prompt.work, at, until);
        self.retained.insert(self.handles, cache);
        let retention = self.figures.retention.as_millis();
        let result = border::PrefillResult {
            kv_handle: self.handles,
            prompt_tokens: prompt.work.prompt_tokens,
            cached_tokens: prompt.cached_tokens,
            retention_ms: u32::try_from(retention).unwrap_or(u32::MAX),
        };
        events.push(engine_event::EngineEvent::Prefilled(
            prompt.work.key,
            result,
        ));
    }

    pub(super) fn drop_late(
        &mut self,
        at: clock::Timestamp,
        events: &mut Vec<engine_event::EngineEvent>,
    ) {
        self.retained.retain(|_, cache| {
            let kept = cache.until > at;
            if !kept {
                events.push(engine_event::EngineEvent::Dropped(cache.key));
            }
            kept
        });
    }

    pub(super) fn end_transfers(
        &mut self,
        at: clock::Timestamp,
        events: &mut Vec<engine_event::EngineEvent>,
    ) {
        for key in self.link.take_done(at) {
            match key {
                model::LinkKey::Export(handle) => {
                    self.retained.remove(&handle);
                    events.push(engine_event::EngineEvent::Exported(handle));
                }
                model::LinkKey::Import(key) => self.mark_moved(key, false, events),
            }
        }
    }

    pub(super) fn mark_moved(
        &mut self,
        key: work_key::WorkKey,
        by_source: bool,
        events: &mut Vec<engine_event::EngineEvent>,
    ) {
        let Some(stream) = self.batch.streams.get_mut(&key) else {
            return;
        };
        let decode_stream::StreamPhase::Moving { sent, carried } = &mut stream.phase else {
            return;
        };
        *sent |= by_source;
        *carried |= !by_source;
        if *sent && *carried {
            stream.phase = decode_stream::StreamPhase::Ready;
            events.push(engine_event::EngineEvent::Imported(key));
        }
    }

    /// Starts whatever can start.
    pub(super) fn settle(
        &mut self,
        now: clock::Timestamp,
        events: &mut Vec<engine_event::EngineEvent>,
    ) {
        self.admit_imports(now, events);
        self.start_prefill(now);
        self.start_step(now);
        let report = border::LoadReport {
            age_ms: 0,
            decoding: u32::try_from(self.batch.admitted()).unwrap_or(u32::MAX),
            kv_pieces_held: self.held_pieces(),
            queued_prompt_tokens: self.prefills.queued_tokens(),
        };
        let kept = self.figures.report_lag.max(LOAD_HISTORY);
        self.loads.record(now, report, kept);
    }

    fn admit_imports(
        &mut self,
        now: clock::Timestamp,
        events: &mut Vec<engine_event::EngineEvent>,
    ) {
        let slots = usize::try_from(self.figures.decode_slots).unwrap_or(usize::MAX);
        while self.batch.admitted() < slots {
            let free = self.figures.kv_pieces.saturating_sub(self.held_pieces());
            let Some(stream) = self
                .batch
                .first_waiting()
                .and_then(|key| self.batch.streams.get_mut(&key))
            else {
                return;
            };
            if stream.work.kv_pieces > free {
                return;
            }
            stream.phase = decode_stream::StreamPhase::Moving {
                sent: false,
                carried: false,
            };
            let key = stream.work.key;
            self.link
                .begin(now, model::LinkKey::Import(key), stream.work.prompt_tokens);
            events.push(engine_event::EngineEvent::Pull(key, stream.work.kv_handle));
        }
    }

    fn start_prefill(&mut self, now: clock::Timestamp) {
        if self.prefills.reading.is_some() {
            return;
        }
        let free = self.figures.kv_pieces.saturating_sub(self.held_pieces());
        let Some(first) = self.prefills.waiting.first_entry() else {
            return;
        };
        if first.get().0.kv_pieces() > free {
            return;
        }
        let (work, _) = first.remove();
        let hits = u32::try_from(self.cache.hits(&work.blocks)).unwrap_or(u32::MAX);
        let cached = hits.saturating_mul(self.figures.block_tokens);
        let cached_tokens = cached.min(work.prompt_tokens.saturating_sub(1));
        let rest = work.prompt_tokens - cached_tokens;
        self.prefills.reading = Some(prefill_queue::ReadPrompt {
            cached_tokens,
            since: now,
            until: now + self.figures.prefill_time(rest),
            work,
        });
    }

    fn start_step(&mut self, now: clock::Timestamp) {
        if self.batch.step_end.is_some() {
            return;
        }
        let step = self.batch.decoding();
        if step.is_empty() {
            return;
        }
        let mut span = self.figures.token_time(step.len());
        if self.prefills.reading.is_some() {
            span *= PREFILL_INTERFERENCE;
        }
        self.batch.step = step;
        self.batch.step_end = Some(now + span);
    }
}
