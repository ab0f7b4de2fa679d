//! The state that an owner keeps of one engine.

use std::{collections, sync, time};

use crate::{engine_health, keys, unleased_work, work_key};

/// Expected remaining time of a prefill that is past its planned end.
const OVERDUE_PREFILL_DELAY: time::Duration = time::Duration::from_millis(5);

/// A prefill that is planned on an engine.
#[derive(Clone, Copy, Debug)]
pub struct PlannedPrefill {
    /// Lease that the prefill belongs to.
    pub lease: keys::LeaseKey,
    /// Earliest start time.
    pub start_at: clock::Timestamp,
    /// Expected duration.
    pub duration: time::Duration,
}

/// The state that an owner keeps of one engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// Description of the engine in the release notes in force.
    pub entry: sync::Arc<note::EngineEntry>,
    /// Role that the engine last reported.
    pub role: note::EngineRole,
    /// Whether the engine accepts no new work while it changes its role.
    pub draining: bool,
    /// Whether the engine was removed from the cell by the release notes in force.
    pub removed: bool,
    /// Whether the engine responds.
    pub health: engine_health::EngineHealth,
    /// Planned prefills in execution order.
    pub prefills: collections::VecDeque<PlannedPrefill>,
    /// Leases that hold a decode slot.
    pub decodes: collections::BTreeSet<keys::LeaseKey>,
    /// KV cache pieces held by the leases in `decodes`.
    pub leased_pieces: u32,
    /// Work that the engine lists and no lease covers.
    pub unleased: collections::BTreeMap<work_key::WorkKey, unleased_work::UnleasedWork>,
    /// End of the last transfer planned on the engine's link.
    pub link_until: clock::Timestamp,
    /// Last load report and the time it was read.
    pub load: Option<(clock::Timestamp, border::LoadReport)>,
    /// Expected completed streams per second and the time that rate was computed.
    pub completion_rate: (f64, clock::Timestamp),
}

impl EngineState {
    /// Creates the state of an engine without leases or listed work.
    #[must_use]
    pub fn new(entry: sync::Arc<note::EngineEntry>) -> Self {
        Self {
            role: entry.role,
            entry,
            draining: false,
            removed: false,
            health: engine_health::EngineHealth::default(),
            prefills: collections::VecDeque::new(),
            decodes: collections::BTreeSet::new(),
            leased_pieces: 0,
            unleased: collections::BTreeMap::new(),
            link_until: clock::Timestamp::default(),
            load: None,
            completion_rate: (0.0, clock::Timestamp::default()),
        }
    }

    /// Applies a changed description of the engine.
    pub fn update_entry(&mut self, entry: &sync::Arc<note::EngineEntry>) {
        self.removed = false;
        if self.entry.role != entry.role {
            self.role = entry.role;
        }
        self.entry = sync::Arc::clone(entry);
    }

    /// Returns whether the engine accepts new prefills.
    #[must_use]
    pub fn may_prefill(&self) -> bool {
        self.is_usable() && self.role != note::EngineRole::Decode
    }

    /// Returns whether the engine accepts new decode streams.
    #[must_use]
    pub fn may_decode(&self) -> bool {
        self.is_usable() && self.role != note::EngineRole::Prefill
    }

    /// Returns when the planned prefills are expected to be done.
    #[must_use]
    pub fn prefill_free_at(&self, now: clock::Timestamp) -> clock::Timestamp {
        let mut free_at = clock::Timestamp::default();
        for prefill in &self.prefills {
            let planned = prefill.start_at.max(free_at) + prefill.duration;
            free_at = if planned > now {
                planned
            } else {
                now + OVERDUE_PREFILL_DELAY
            };
        }
        free_at.max(now)
    }

    /// Returns the expected duration of a prefill of `tokens`.
    #[must_use]
    pub fn prefill_duration(&self, tokens: u32) -> time::Duration {
        let rate = f64::from(self.entry.prefill_tokens_per_second.max(1));
        time::Duration::from_secs_f64(f64::from(tokens) / rate)
    }

    /// Returns the time per output token with a full batch.
    #[must_use]
    pub fn token_time(&self) -> time::Duration {
        time::Duration::from_millis(u64::from(self.entry.full_batch_token_ms))
    }

    /// Returns the number of decode slots that can be used at `pace_ms` milliseconds per token;
    /// a pace of 0 sets no limit.
    #[must_use]
    pub fn slot_limit(&self, pace_ms: u32) -> u32 {
        let full = self.entry.full_batch_token_ms.max(1);
        if pace_ms == 0 || full <= pace_ms {
            return self.entry.decode_slots;
        }
        (self.entry.decode_slots * pace_ms / full).max(1)
    }

    /// Returns the decode slots held by leases and by unleased work.
    #[must_use]
    pub fn held_slots(&self) -> u32 {
        let unleased = self.unleased.values().filter(|work| work.holds_slot());
        count(self.decodes.len()) + count(unleased.count())
    }

    /// Returns the KV cache pieces held by leases and by unleased work.
    #[must_use]
    pub fn held_pieces(&self) -> u32 {
        let unleased = self.unleased.values().map(|work| work.kv_pieces);
        self.leased_pieces + unleased.sum::<u32>()
    }

    /// Returns the free KV cache pieces.
    #[must_use]
    pub fn free_pieces(&self) -> u32 {
        self.entry.kv_pieces.saturating_sub(self.held_pieces())
    }

    fn is_usable(&self) -> bool {
        self.health == engine_health::EngineHealth::Up
            && !self.draining
            && !self.removed
            && !self.entry.leaving
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
