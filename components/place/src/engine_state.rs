//! What an owner counts of one engine.

use std::{collections, sync, time};

use crate::{engine_reach, foreign_work, keys, work_key};

/// Time after its planned end at which a prefill without news is expected to end.
const LATE_PREFILL: time::Duration = time::Duration::from_millis(5);

/// A prefill that an engine is to do, in the order of the queue.
#[derive(Clone, Copy, Debug)]
pub struct PlannedPrefill {
    /// Lease the prefill belongs to.
    pub lease: keys::LeaseKey,
    /// Earliest start.
    pub start_at: clock::Timestamp,
    /// Expected time.
    pub span: time::Duration,
}

/// What an owner counts of one engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// The engine, as the release notes describe it.
    pub entry: sync::Arc<note::EngineEntry>,
    /// Role the engine has reported.
    pub role: note::EngineRole,
    /// Whether the engine takes no new work while it changes its role.
    pub drained: bool,
    /// Whether the release notes don't name the engine any more.
    pub withdrawn: bool,
    /// Whether the engine answers.
    pub reach: engine_reach::EngineReach,
    /// Prefills that the engine is to do.
    pub prefills: collections::VecDeque<PlannedPrefill>,
    /// Leases on the decode side.
    pub decodes: collections::BTreeSet<keys::LeaseKey>,
    /// Pieces of memory held by leases on the decode side.
    pub leased_pieces: u32,
    /// Work that no lease covers.
    pub foreign: collections::BTreeMap<work_key::WorkKey, foreign_work::ForeignWork>,
    /// Time until which transfers are planned on the link.
    pub link_until: clock::Timestamp,
    /// Last load report and when it was read.
    pub load: Option<(clock::Timestamp, border::LoadReport)>,
    /// Streams expected to end in a second, and when that was computed.
    pub free_rate: (f64, clock::Timestamp),
}

impl EngineState {
    /// Makes the book of an engine that holds nothing, as far as known.
    #[must_use]
    pub fn new(entry: sync::Arc<note::EngineEntry>) -> Self {
        Self {
            role: entry.role,
            entry,
            drained: false,
            withdrawn: false,
            reach: engine_reach::EngineReach::default(),
            prefills: collections::VecDeque::new(),
            decodes: collections::BTreeSet::new(),
            leased_pieces: 0,
            foreign: collections::BTreeMap::new(),
            link_until: clock::Timestamp::default(),
            load: None,
            free_rate: (0.0, clock::Timestamp::default()),
        }
    }

    /// Takes a changed description of the engine.
    pub fn take_entry(&mut self, entry: &sync::Arc<note::EngineEntry>) {
        self.withdrawn = false;
        if self.entry.role != entry.role {
            self.role = entry.role;
        }
        self.entry = sync::Arc::clone(entry);
    }

    /// Returns whether the engine may get new prompts to read.
    #[must_use]
    pub fn may_prefill(&self) -> bool {
        self.is_usable() && self.role != note::EngineRole::Decode
    }

    /// Returns whether the engine may get new answers to generate.
    #[must_use]
    pub fn may_decode(&self) -> bool {
        self.is_usable() && self.role != note::EngineRole::Prefill
    }

    /// Returns when the engine has done the prefills that are planned.
    #[must_use]
    pub fn prefill_free_at(&self, now: clock::Timestamp) -> clock::Timestamp {
        let mut free_at = clock::Timestamp::default();
        for prefill in &self.prefills {
            let planned = prefill.start_at.max(free_at) + prefill.span;
            free_at = if planned > now {
                planned
            } else {
                now + LATE_PREFILL
            };
        }
        free_at.max(now)
    }

    /// Returns the time that reading `tokens` is expected to take.
    #[must_use]
    pub fn prefill_span(&self, tokens: u32) -> time::Duration {
        let rate = f64::from(self.entry.prefill_tokens_per_second.max(1));
        time::Duration::from_secs_f64(f64::from(tokens) / rate)
    }

    /// Returns the time between two tokens when the batch is full.
    #[must_use]
    pub fn token_time(&self) -> time::Duration {
        time::Duration::from_millis(u64::from(self.entry.full_batch_token_ms))
    }

    /// Returns the decode slots that keep the pace of `pace_ms` between tokens.
    #[must_use]
    pub fn slot_limit(&self, pace_ms: u32) -> u32 {
        let full = self.entry.full_batch_token_ms.max(1);
        if pace_ms == 0 || full <= pace_ms {
            return self.entry.decode_slots;
        }
        (self.entry.decode_slots * pace_ms / full).max(1)
    }

    /// Returns the decode slots that are held, by leases and by work without one.
    #[must_use]
    pub fn held_slots(&self) -> u32 {
        let foreign = self.foreign.values().filter(|work| work.holds_slot());
        count(self.decodes.len()) + count(foreign.count())
    }

    /// Returns the pieces of memory that are held, by leases and by work without one.
    #[must_use]
    pub fn held_pieces(&self) -> u32 {
        let foreign = self.foreign.values().map(|work| work.kv_pieces);
        self.leased_pieces + foreign.sum::<u32>()
    }

    /// Returns the pieces of memory that are free.
    #[must_use]
    pub fn free_pieces(&self) -> u32 {
        self.entry.kv_pieces.saturating_sub(self.held_pieces())
    }

    fn is_usable(&self) -> bool {
        self.reach == engine_reach::EngineReach::Up
            && !self.drained
            && !self.withdrawn
            && !self.entry.leaving
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
