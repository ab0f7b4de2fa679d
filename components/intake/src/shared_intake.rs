//! Shares a connection table among the listeners of a process.

use std::{collections, fmt, sync};

use crate::{
    close_step, connection_class, connection_listener, connection_phase, connection_signal,
    connection_slot, connection_table, intake_counts, intake_error, intake_limits, table_verdict,
};

/// Bodies in small pieces that are read at the same time.
const SMALL_PIECE_READERS: usize = 1;

/// Memory of an intake of its own, in bytes.
const STANDALONE_BYTES: usize = 64 * 1024 * 1024;

/// Descriptors where the system tells no limit.
pub const DEFAULT_DESCRIPTORS: usize = 1_024;

/// A share of the places of callers that connections may take which wait for a refused client to end.
const LINGER_DIVISOR: usize = 4;

struct IntakeState {
    table: connection_table::ConnectionTable,
    signals: collections::HashMap<
        connection_table::ConnectionKey,
        sync::Arc<connection_signal::ConnectionSignal>,
    >,
}

/// Shares a connection table among the listeners of a process.
///
/// The lock is held for one decision at a time and never across an await point.
pub struct Intake {
    clock: sync::Arc<dyn clock::ClockSource>,
    state: sync::Mutex<IntakeState>,
    /// Wakes requests that wait until others have freed their memory.
    freed: tokio::sync::Notify,
    /// Permits to go on reading a body that arrives in small pieces.
    pub(crate) small_piece_reads: tokio::sync::Semaphore,
    /// Held by connections that wait for a refused client to end.
    pub(crate) lingering: sync::Arc<tokio::sync::Semaphore>,
    counts: intake_counts::IntakeCounts,
}

impl fmt::Debug for Intake {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (connections, held_bytes) = self.usage();
        formatter
            .debug_struct("Intake")
            .field("connections", &connections)
            .field("held_bytes", &held_bytes)
            .finish_non_exhaustive()
    }
}

impl Intake {
    /// Creates an intake without connections.
    #[must_use]
    pub fn new(
        limits: intake_limits::IntakeLimits,
        clock: sync::Arc<dyn clock::ClockSource>,
    ) -> sync::Arc<Self> {
        let callers = limits.connections(connection_class::ConnectionClass::Caller);
        let lingering = tokio::sync::Semaphore::new(callers / LINGER_DIVISOR);
        sync::Arc::new(Self {
            clock,
            state: sync::Mutex::new(IntakeState {
                table: connection_table::ConnectionTable::new(limits),
                signals: collections::HashMap::new(),
            }),
            freed: tokio::sync::Notify::new(),
            small_piece_reads: tokio::sync::Semaphore::new(SMALL_PIECE_READERS),
            lingering: sync::Arc::new(lingering),
            counts: intake_counts::IntakeCounts::default(),
        })
    }

    /// Creates an intake of its own for one listener, within the system's limit on descriptors.
    #[must_use]
    pub fn standalone() -> sync::Arc<Self> {
        let limits = intake_limits::IntakeLimits::builder()
            .memory_bytes(STANDALONE_BYTES)
            .descriptors(connection_listener::system_descriptors().unwrap_or(DEFAULT_DESCRIPTORS))
            .build();
        Self::new(limits, sync::Arc::new(clock::SystemClock::start()))
    }

    /// Returns the counts since the start.
    #[must_use]
    pub const fn counts(&self) -> &intake_counts::IntakeCounts {
        &self.counts
    }

    /// Returns the number of connections and the bytes that they and their requests hold.
    #[must_use]
    pub fn usage(&self) -> (usize, usize) {
        let state = self.lock();
        (state.table.len(), state.table.held_bytes())
    }

    /// Takes a new connection, for which others may have to end; returns `None` if there is no place.
    pub fn admit(
        self: &sync::Arc<Self>,
        class: connection_class::ConnectionClass,
    ) -> Option<connection_slot::ConnectionSlot> {
        let now = self.clock.now();
        let mut state = self.lock();
        let table_verdict::AdmitVerdict::Admitted { key, ends, reason } =
            state.table.admit(now, class)
        else {
            self.counts.refuse_connection(class);
            return None;
        };
        self.end_all(&state, &ends, reason);
        let signal = sync::Arc::new(connection_signal::ConnectionSignal::default());
        state.signals.insert(key, sync::Arc::clone(&signal));
        drop(state);
        Some(connection_slot::ConnectionSlot::new(
            sync::Arc::clone(self),
            key,
            signal,
        ))
    }

    /// Ends a connection of a class so that a descriptor is free.
    pub fn relieve(&self, class: connection_class::ConnectionClass) {
        let now = self.clock.now();
        let mut state = self.lock();
        let victim = state.table.relieve(now, class);
        let reason = connection_table::EndReason::Descriptors;
        self.end_all(&state, victim.as_slice(), reason);
    }

    /// Ends the connections that have exceeded a timeout.
    pub fn expire(&self, timeouts: &intake_limits::IntakeTimeouts) {
        let now = self.clock.now();
        let mut state = self.lock();
        for (key, reason) in state.table.expire(now, timeouts) {
            let signal = state.signals.get(&key);
            if let Some(signal) =
                signal.filter(|signal| !signal.has_reached(close_step::CloseStep::Abort))
            {
                self.counts.end(reason);
                signal.raise(close_step::CloseStep::Abort);
            }
        }
    }

    /// Counts more bytes of a request, and waits until others have freed theirs if need be.
    pub(crate) async fn grow(
        &self,
        slot: &connection_slot::ConnectionSlot,
        bytes: usize,
    ) -> Result<(), intake_error::IntakeError> {
        let key = slot.key();
        self.when_room(slot, |table, now| table.grow(now, key, bytes))
            .await
    }

    /// Counts what a request takes while it is served, and waits like [`Self::grow`].
    pub(crate) async fn serve(
        &self,
        slot: &connection_slot::ConnectionSlot,
    ) -> Result<(), intake_error::IntakeError> {
        let key = slot.key();
        self.when_room(slot, |table, now| table.serve(now, key))
            .await
    }

    /// Takes back what a request took while it was served.
    pub(crate) fn end_serving(&self, key: connection_table::ConnectionKey) {
        self.lock().table.end_serving(key);
        self.freed.notify_waiters();
    }

    /// Ends the connection whose client takes nothing of the largest answer for the longest; returns
    /// whether there is one.
    pub fn end_unread_answer(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let victim = state.table.end_unread_answer(now);
        let reason = connection_table::EndReason::Memory;
        self.end_all(&state, victim.as_slice(), reason);
        victim.is_some()
    }

    async fn when_room(
        &self,
        slot: &connection_slot::ConnectionSlot,
        decision: impl Fn(
            &mut connection_table::ConnectionTable,
            clock::Timestamp,
        ) -> table_verdict::GrowVerdict,
    ) -> Result<(), intake_error::IntakeError> {
        loop {
            // Created before the decision, so that no notification after it is missed.
            let freed = self.freed.notified();
            if self.has_room(&decision)? {
                return Ok(());
            }
            tokio::select! {
                () = freed => {}
                () = slot.given_up() => return Err(intake_error::IntakeError::NoRoom),
            }
        }
    }

    /// Runs a decision that counts bytes; returns whether they have room yet.
    fn has_room(
        &self,
        decision: impl Fn(
            &mut connection_table::ConnectionTable,
            clock::Timestamp,
        ) -> table_verdict::GrowVerdict,
    ) -> Result<bool, intake_error::IntakeError> {
        let now = self.clock.now();
        let mut state = self.lock();
        match decision(&mut state.table, now) {
            table_verdict::GrowVerdict::Granted => Ok(true),
            table_verdict::GrowVerdict::Wait { ends } => {
                self.end_all(&state, &ends, connection_table::EndReason::Memory);
                Ok(false)
            }
            table_verdict::GrowVerdict::Refused => Err(intake_error::IntakeError::NoRoom),
        }
    }

    /// Takes back bytes of a request.
    pub(crate) fn shrink(&self, key: connection_table::ConnectionKey, bytes: usize) {
        self.lock().table.shrink(key, bytes);
        self.freed.notify_waiters();
    }

    /// Begins an answer, for which others may have to end.
    pub(crate) fn begin_answer(&self, key: connection_table::ConnectionKey, bytes: usize) {
        let now = self.clock.now();
        let mut state = self.lock();
        let ends = state.table.begin_answer(now, key, bytes);
        self.end_all(&state, &ends, connection_table::EndReason::Memory);
    }

    /// Takes back the bytes of answers that are sent.
    pub(crate) fn finish_answers(&self, key: connection_table::ConnectionKey) {
        self.lock().table.finish_answers(key);
        self.freed.notify_waiters();
    }

    /// Tells a connection to end after its answer.
    pub(crate) fn end(&self, key: connection_table::ConnectionKey) {
        let now = self.clock.now();
        self.lock().table.end(now, key);
    }

    pub(crate) fn remove(&self, key: connection_table::ConnectionKey) {
        let mut state = self.lock();
        state.table.remove(key);
        state.signals.remove(&key);
        drop(state);
        self.freed.notify_waiters();
    }

    /// Runs a decision on the locked table at the current time.
    pub(crate) fn decide<T>(
        &self,
        decision: impl FnOnce(&mut connection_table::ConnectionTable, clock::Timestamp) -> T,
    ) -> T {
        let now = self.clock.now();
        decision(&mut self.lock().table, now)
    }

    /// Sets the phase of a connection; returns whether the connection goes on.
    pub(crate) fn set_phase(
        &self,
        key: connection_table::ConnectionKey,
        phase: connection_phase::ConnectionPhase,
    ) -> bool {
        self.decide(|table, now| table.set_phase(now, key, phase))
    }

    fn end_all(
        &self,
        state: &IntakeState,
        keys: &[connection_table::ConnectionKey],
        reason: connection_table::EndReason,
    ) {
        for key in keys {
            self.counts.end(reason);
            if let Some(signal) = state.signals.get(key) {
                signal.raise(state.table.close_step(*key));
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, IntakeState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
