//! The attempts that a decode engine holds.

use std::collections;

use crate::engine_model::{decode_stream, engine_event, work_key};

/// The attempts that a decode engine holds.
#[derive(Clone, Debug, Default)]
pub struct DecodeBatch {
    /// Streams by attempt.
    pub streams: collections::BTreeMap<work_key::WorkKey, decode_stream::DecodeStream>,
    /// End of the step being computed; `None` while nothing is decoded.
    pub step_end: Option<clock::Timestamp>,
    /// Streams that take part in the step being computed.
    pub step: Vec<work_key::WorkKey>,
}

impl DecodeBatch {
    /// Returns the streams that hold a slot.
    pub fn admitted(&self) -> usize {
        self.streams
            .values()
            .filter(|stream| stream.is_admitted())
            .count()
    }

    /// Returns the pieces of engine memory the streams hold.
    pub fn held_pieces(&self) -> u32 {
        self.streams
            .values()
            .filter(|stream| stream.is_admitted())
            .map(|stream| stream.work.kv_pieces)
            .sum()
    }

    /// Returns the attempt that waits first, by priority and arrival.
    pub fn first_waiting(&self) -> Option<work_key::WorkKey> {
        self.streams
            .values()
            .filter(|stream| !stream.is_admitted())
            .min_by_key(|stream| (std::cmp::Reverse(stream.work.priority), stream.arrival))
            .map(|stream| stream.work.key)
    }

    /// Returns the attempts that are being decoded.
    pub fn decoding(&self) -> Vec<work_key::WorkKey> {
        self.streams
            .values()
            .filter(|stream| stream.phase == decode_stream::StreamPhase::Decoding)
            .map(|stream| stream.work.key)
            .collect()
    }

    /// Ends the step: each stream in it gets a token, and finished streams leave.
    pub fn end_step(&mut self, events: &mut Vec<engine_event::EngineEvent>) {
        self.step_end = None;
        for key in std::mem::take(&mut self.step) {
            let Some(stream) = self.streams.get_mut(&key) else {
                continue;
            };
            let offset = stream.next_offset;
            stream.next_offset += 1;
            let ended = stream.next_offset >= stream.end_offset;
            let finish = ended.then_some(stream.finish);
            events.push(engine_event::EngineEvent::Token {
                key,
                offset,
                finish,
            });
            if ended {
                self.streams.remove(&key);
            }
        }
    }
}
