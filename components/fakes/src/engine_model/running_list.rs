//! The running list of an engine.

use std::collections;

use crate::engine_model::{
    decode_batch, decode_stream, prefill_queue, prefill_work, retained_cache,
};

/// Returns the attempts that an engine holds.
pub fn running_list(
    now: clock::Timestamp,
    prefills: &prefill_queue::PrefillQueue,
    retained: &collections::BTreeMap<u64, retained_cache::RetainedCache>,
    batch: &decode_batch::DecodeBatch,
) -> Vec<border::RunningEntry> {
    let waiting = prefills
        .waiting
        .values()
        .map(|(work, since)| prompt_entry(now, work, *since, border::RunningPhase::Queued));
    let reading = prefills.reading.iter().map(|prompt| {
        prompt_entry(
            now,
            &prompt.work,
            prompt.since,
            border::RunningPhase::Prefill,
        )
    });
    let kept = retained.values().map(|cache| retained_entry(now, cache));
    let streams = batch
        .streams
        .values()
        .map(|stream| stream_entry(now, stream));
    waiting.chain(reading).chain(kept).chain(streams).collect()
}

fn prompt_entry(
    now: clock::Timestamp,
    work: &prefill_work::PrefillWork,
    since: clock::Timestamp,
    phase: border::RunningPhase,
) -> border::RunningEntry {
    let queued = phase == border::RunningPhase::Queued;
    border::RunningEntry {
        request: work.key.request,
        attempt: work.key.attempt,
        entry: work.entry,
        phase,
        kv_pieces: if queued { 0 } else { work.kv_pieces() },
        generated_tokens: 0,
        age_ms: age_ms(now, since),
    }
}

fn retained_entry(
    now: clock::Timestamp,
    cache: &retained_cache::RetainedCache,
) -> border::RunningEntry {
    border::RunningEntry {
        request: cache.key.request,
        attempt: cache.key.attempt,
        entry: cache.entry,
        phase: border::RunningPhase::Retained,
        kv_pieces: cache.kv_pieces,
        generated_tokens: 0,
        age_ms: age_ms(now, cache.since),
    }
}

fn stream_entry(
    now: clock::Timestamp,
    stream: &decode_stream::DecodeStream,
) -> border::RunningEntry {
    let decoding = stream.phase == decode_stream::StreamPhase::Decoding;
    border::RunningEntry {
        request: stream.work.key.request,
        attempt: stream.work.key.attempt,
        entry: stream.work.entry,
        phase: if decoding {
            border::RunningPhase::Decode
        } else {
            border::RunningPhase::Import
        },
        kv_pieces: if stream.is_admitted() {
            stream.work.kv_pieces
        } else {
            0
        },
        generated_tokens: stream.next_offset,
        age_ms: age_ms(now, stream.since),
    }
}

fn age_ms(now: clock::Timestamp, since: clock::Timestamp) -> u64 {
    u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX)
}
