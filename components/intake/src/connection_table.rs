//! Decides which connections and bodies are kept.

mod giving_up;

use std::collections;

use crate::{connection_class, connection_phase, intake_limits, table_entry, table_verdict};

slotmap::new_key_type! {
    /// Key of a connection.
    pub struct ConnectionKey;
}

/// Reasons why a connection ends before its client closes it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, strum::EnumIter, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EndReason {
    /// There was no memory for another request beside it.
    Memory,
    /// There was no descriptor for another connection beside it.
    Descriptors,
    /// A head wasn't whole in time.
    HeadTimeout,
    /// The client took nothing of its answer for too long.
    UnreadAnswer,
    /// The connection was told to end and is still open.
    EndTimeout,
}

/// Decides which connections and bodies are kept.
///
/// Only clients that let the process wait are given up: those whose head or body isn't whole, and
/// those that take nothing of their answer. A request that is whole keeps its room until it is
/// answered.
pub struct ConnectionTable {
    limits: intake_limits::IntakeLimits,
    entries: slotmap::SlotMap<ConnectionKey, table_entry::TableEntry>,
    counts: collections::BTreeMap<connection_class::ConnectionClass, usize>,
    held_bytes: usize,
    /// Part of the held bytes that connections which end are about to free.
    ending_bytes: usize,
}

impl ConnectionTable {
    /// Creates a table without connections.
    #[must_use]
    pub fn new(limits: intake_limits::IntakeLimits) -> Self {
        Self {
            limits,
            entries: slotmap::SlotMap::with_key(),
            counts: collections::BTreeMap::new(),
            held_bytes: 0,
            ending_bytes: 0,
        }
    }

    /// Returns the bytes that connections and requests hold.
    #[must_use]
    pub const fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes a new connection. If its class has all connections that it may have, or the memory for
    /// callers and requests of instances is full, others make room. Pages, as readiness, are served
    /// however full the memory is.
    pub fn admit(
        &mut self,
        now: clock::Timestamp,
        class: connection_class::ConnectionClass,
    ) -> table_verdict::AdmitVerdict {
        let mut ends = Vec::new();
        let mut reason = EndReason::Descriptors;
        let count = self.counts.get(&class).copied().unwrap_or_default();
        if count >= self.limits.connections(class) {
            let Some(victim) = self.longest_idle(now, class) else {
                return table_verdict::AdmitVerdict::Refused;
            };
            ends.push(victim);
        }
        let added = self.limits.connection_bytes;
        let ceiling = self.class_ceiling(class);
        if ends.is_empty() && class.has_phases() && !self.has_room(added, ceiling) {
            match self.make_room(now, (class, None), added, ceiling) {
                Some(victims) => ends = victims,
                None => return table_verdict::AdmitVerdict::Refused,
            }
            reason = EndReason::Memory;
        }
        for victim in &ends {
            self.end(now, *victim);
        }
        *self.counts.entry(class).or_default() += 1;
        self.held_bytes += added;
        let key = self.entries.insert(table_entry::TableEntry {
            class,
            phase: connection_phase::ConnectionPhase::Waiting,
            since: now,
            head_since: None,
            blocked_since: None,
            held_bytes: added,
            serving_bytes: 0,
            answer_bytes: 0,
            ending_since: None,
        });
        table_verdict::AdmitVerdict::Admitted { key, ends, reason }
    }

    /// Counts more bytes of a request.
    pub fn grow(
        &mut self,
        now: clock::Timestamp,
        key: ConnectionKey,
        bytes: usize,
    ) -> table_verdict::GrowVerdict {
        let Some(entry) = self.entries.get(key).filter(|entry| !entry.is_ending()) else {
            return table_verdict::GrowVerdict::Refused;
        };
        let ceiling = self.ceiling(entry, bytes);
        self.grow_below(now, key, bytes, ceiling)
    }

    /// Counts what a request takes while it is served, and keeps its room from then on.
    pub fn serve(
        &mut self,
        now: clock::Timestamp,
        key: ConnectionKey,
    ) -> table_verdict::GrowVerdict {
        let Some(entry) = self.entries.get(key).filter(|entry| !entry.is_ending()) else {
            return table_verdict::GrowVerdict::Refused;
        };
        let (bytes, ceiling) = (self.limits.serving_bytes, self.class_ceiling(entry.class));
        let verdict = self.grow_below(now, key, bytes, ceiling);
        if verdict == table_verdict::GrowVerdict::Granted {
            self.entries[key].serving_bytes += bytes;
            self.set_phase(now, key, connection_phase::ConnectionPhase::Serving);
        }
        verdict
    }

    /// Takes back what a request took while it was served.
    pub fn end_serving(&mut self, key: ConnectionKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.serving_bytes = 0;
        }
        self.shrink(key, self.limits.serving_bytes);
    }

    fn grow_below(
        &mut self,
        now: clock::Timestamp,
        key: ConnectionKey,
        bytes: usize,
        ceiling: usize,
    ) -> table_verdict::GrowVerdict {
        let class = self.entries[key].class;
        if self.held_bytes + bytes <= ceiling {
            self.entries[key].held_bytes += bytes;
            self.held_bytes += bytes;
            return table_verdict::GrowVerdict::Granted;
        }
        if self.has_room(bytes, ceiling) {
            return table_verdict::GrowVerdict::Wait { ends: Vec::new() };
        }
        match self.make_room(now, (class, Some(key)), bytes, ceiling) {
            Some(ends) => {
                for victim in &ends {
                    self.end(now, *victim);
                }
                table_verdict::GrowVerdict::Wait { ends }
            }
            None => table_verdict::GrowVerdict::Refused,
        }
    }

    /// Takes back bytes of a request. The connection may have ended before.
    pub fn shrink(&mut self, key: ConnectionKey, bytes: usize) {
        self.held_bytes -= bytes;
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.held_bytes -= bytes;
        if entry.is_ending() {
            self.ending_bytes -= bytes;
        }
    }

    /// Sets the phase of a connection; returns whether the connection goes on.
    pub fn set_phase(
        &mut self,
        now: clock::Timestamp,
        key: ConnectionKey,
        phase: connection_phase::ConnectionPhase,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        entry.phase = phase;
        entry.since = now;
        entry.head_since = None;
        !entry.is_ending()
    }

    /// Begins an answer, which is counted whatever room there is; returns the connections that end for
    /// it.
    pub fn begin_answer(
        &mut self,
        now: clock::Timestamp,
        key: ConnectionKey,
        bytes: usize,
    ) -> Vec<ConnectionKey> {
        self.set_phase(now, key, connection_phase::ConnectionPhase::Answering);
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        entry.answer_bytes += bytes;
        entry.held_bytes += bytes;
        self.held_bytes += bytes;
        if entry.is_ending() {
            self.ending_bytes += bytes;
        }
        let (class, ceiling) = (entry.class, self.limits.memory_bytes);
        let ends = self.make_room(now, (class, Some(key)), 0, ceiling);
        let ends = ends.unwrap_or_default();
        for victim in &ends {
            self.end(now, *victim);
        }
        ends
    }

    /// Takes back the bytes of answers that are sent.
    pub fn finish_answers(&mut self, key: ConnectionKey) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.phase != connection_phase::ConnectionPhase::Answering {
            let bytes = std::mem::take(&mut entry.answer_bytes);
            self.shrink(key, bytes);
        }
    }

    /// Records that bytes have arrived.
    pub fn record_input(&mut self, now: clock::Timestamp, key: ConnectionKey) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if !entry.class.has_phases() {
            entry.since = now;
        } else if entry.phase == connection_phase::ConnectionPhase::Waiting {
            entry.head_since.get_or_insert(now);
        }
    }

    /// Records whether the client takes what is to be sent.
    pub fn record_output(&mut self, now: clock::Timestamp, key: ConnectionKey, is_blocked: bool) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.blocked_since = is_blocked.then_some(now);
        }
    }

    /// Removes a closed connection. What its request holds counts until it is taken back.
    pub fn remove(&mut self, key: ConnectionKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        if entry.is_ending() {
            self.ending_bytes -= entry.held_bytes;
        } else {
            self.release_place(entry.class);
        }
        self.held_bytes -= self.limits.connection_bytes + entry.answer_bytes;
    }

    /// Returns up to which sum of all bytes a request may grow by `bytes`.
    fn ceiling(&self, entry: &table_entry::TableEntry, bytes: usize) -> usize {
        let own_bytes = self.limits.connection_bytes + entry.answer_bytes + entry.serving_bytes;
        let request_bytes = entry.held_bytes - own_bytes + bytes;
        let ceiling = self.class_ceiling(entry.class);
        if request_bytes > intake_limits::SMALL_REQUEST_BYTES {
            ceiling.min(self.limits.large_bytes())
        } else {
            ceiling
        }
    }

    /// Returns up to which sum of all bytes connections of a class and their requests may grow.
    fn class_ceiling(&self, class: connection_class::ConnectionClass) -> usize {
        if class == connection_class::ConnectionClass::Peer {
            self.limits.peer_bytes()
        } else {
            self.limits.memory_bytes
        }
    }

    /// Returns whether `bytes` have room once all that end have freed theirs.
    const fn has_room(&self, bytes: usize, ceiling: usize) -> bool {
        self.held_bytes - self.ending_bytes + bytes <= ceiling
    }

    pub(super) fn release_place(&mut self, class: connection_class::ConnectionClass) {
        if let Some(count) = self.counts.get_mut(&class) {
            *count -= 1;
        }
    }
}
