//! Notices of servers about themselves: draining, and requests to send nothing for a while.

use std::time;

use crate::{backend, backend_entry, engine_pool, refusal, relay_core};

/// Longest time for which a server may ask to be sent nothing.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(3_600);

impl relay_core::RelayCore {
    /// Records that a server has reported in an answer that it is draining; returns whether that
    /// was unknown. The server receives no new work until it restarts.
    pub fn record_draining(&mut self, now: clock::Timestamp, key: backend::BackendKey) -> bool {
        self.backends.mark_draining(now, key)
    }

    /// Records that a server has asked this instance to send nothing for `wait`; returns the time
    /// for which nothing is sent.
    ///
    /// Other instances aren't told: the server asks each instance that it turns away.
    pub fn record_backoff(
        &mut self,
        now: clock::Timestamp,
        key: backend::BackendKey,
        wait: time::Duration,
    ) -> time::Duration {
        let wait = wait.min(MAX_BACKOFF);
        if let Some(backend) = self.backends.get_mut(key) {
            backend.start_backoff(now, wait);
        }
        wait
    }

    /// Returns whether a server is willing to receive requests from this instance.
    #[must_use]
    pub fn may_receive(&self, now: clock::Timestamp, key: backend::BackendKey) -> bool {
        self.backends
            .get(key)
            .is_some_and(|backend| backend.may_receive(now))
    }

    /// Returns the remaining time for which a server has asked this instance to send nothing.
    #[must_use]
    pub fn backoff(&self, now: clock::Timestamp, key: backend::BackendKey) -> time::Duration {
        self.backends
            .get(key)
            .map_or(time::Duration::ZERO, |backend| backend.backoff(now))
    }

    /// Returns the refusal of a request whose servers have all asked to be sent nothing, with the
    /// shortest remaining wait; `None` if a server may receive it.
    ///
    /// `stage` selects the engines of a stage, or plain servers.
    pub(super) fn backoff_refusal(
        &self,
        now: clock::Timestamp,
        pool: engine_pool::EnginePool<'_>,
        stage: Option<backend_entry::EngineStage>,
    ) -> Option<refusal::Refusal> {
        let retry_after = self.shortest_wait(pool, stage, |backend| backend.backoff(now))?;
        Some(refusal::Refusal {
            reason: refusal::RefusalReason::Backoff,
            retry_after,
        })
    }

    /// Returns the shortest wait over the servers of a pool; `None` if one doesn't have to be
    /// waited for, or there is none.
    pub(super) fn shortest_wait(
        &self,
        pool: engine_pool::EnginePool<'_>,
        stage: Option<backend_entry::EngineStage>,
        wait_of: impl Fn(&backend::Backend) -> time::Duration,
    ) -> Option<time::Duration> {
        let waits: Option<Vec<time::Duration>> = self
            .backends
            .table()
            .values()
            .filter(|backend| backend.is_current() && pool.contains(backend))
            .filter(|backend| backend.entry.stage == stage)
            .map(|backend| Some(wait_of(backend)).filter(|wait| !wait.is_zero()))
            .collect();
        waits?.into_iter().min()
    }
}
