//! Rate limits that servers name for all instances together.

use std::time;

use rand::RngExt as _;

use crate::{
    backend, backend_entry, engine_pool, instance_update, limit_registry, limit_report, refusal,
    relay_core,
};

use super::core_refusals;

/// Time over which the retries of callers are spread that were refused because of rate limits.
const RETRY_SPREAD: time::Duration = time::Duration::from_millis(600);

/// Smallest retry delay. A caller that returns sooner comes before the instances have told each other what is
/// left of a limit.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(10);

impl relay_core::RelayCore {
    /// Returns the rate limits of the servers.
    #[must_use]
    pub const fn limits(&self) -> &limit_registry::LimitRegistry {
        &self.limits
    }

    /// Records the limit that a server names in an answer, in requests per second from all
    /// instances, or that it names none; returns whether that has changed.
    pub fn record_rate_limit(
        &mut self,
        now: clock::Timestamp,
        key: backend::BackendKey,
        rate: Option<f64>,
    ) -> bool {
        let Some(backend) = self.backends.get(key) else {
            return false;
        };
        self.limits.observe(now, backend.incarnation, rate)
    }

    /// Returns whether a request may be sent once more to the server that it was sent to.
    #[must_use]
    pub fn may_repeat(&self, now: clock::Timestamp, key: backend::BackendKey) -> bool {
        self.backends.get(key).is_some_and(|backend| {
            backend.may_receive(now) && self.limits.has_token(now, backend.incarnation)
        })
    }

    /// Counts a request that is sent to a server without having selected it anew, or after a stream
    /// was moved there.
    pub fn count_request(&mut self, now: clock::Timestamp, key: backend::BackendKey) {
        if let Some(backend) = self.backends.get(key) {
            self.limits.count_request(now, backend.incarnation);
        }
    }

    /// Returns the refusal of a call whose servers have all received as many requests as their
    /// limits allow, or have asked to be sent nothing; `None` if one may receive it.
    pub(super) fn limit_refusal(
        &mut self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
    ) -> Option<refusal::Refusal> {
        let pool = engine_pool::EnginePool::of_service(service);
        let wait = self.shortest_wait(pool, None, |backend| {
            let token_wait = self.limits.wait(now, backend.incarnation);
            token_wait.max(backend.backoff(now))
        })?;
        let spread = RETRY_SPREAD.mul_f64(self.random.random::<f64>());
        Some(core_refusals::refuse(
            refusal::RefusalReason::RateLimit,
            (wait + spread).max(MIN_RETRY_DELAY),
        ))
    }

    /// Returns the time until the limits of a pool's engines allow one more generation after
    /// those that wait.
    pub(super) fn limit_wait(
        &self,
        now: clock::Timestamp,
        pool: engine_pool::EnginePool<'_>,
    ) -> time::Duration {
        if self.limits.is_empty() {
            return time::Duration::ZERO;
        }
        let ahead = self
            .all_waiting(now)
            .filter(|waiting| waiting.request.service == *pool.service)
            .count();
        let requests = u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1);
        let prefill = self.stage_wait(now, pool, backend_entry::EngineStage::Prefill, requests);
        let decode = self.stage_wait(now, pool, backend_entry::EngineStage::Decode, requests);
        prefill.max(decode)
    }

    /// Returns the time until the limits of the engines of a stage allow `requests` requests.
    fn stage_wait(
        &self,
        now: clock::Timestamp,
        pool: engine_pool::EnginePool<'_>,
        stage: backend_entry::EngineStage,
        requests: u32,
    ) -> time::Duration {
        let mut rate = 0.0;
        let mut available = 0.0;
        let mut has_engine = false;
        for engine in self.backends.table().values() {
            let is_candidate = pool.contains(engine)
                && engine.entry.stage == Some(stage)
                && engine.accepts_work(now);
            if !is_candidate {
                continue;
            }
            let Some(engine_rate) = self.limits.rate(engine.incarnation) else {
                return time::Duration::ZERO;
            };
            has_engine = true;
            rate += engine_rate;
            available += self.limits.available(now, engine.incarnation);
        }
        let missing = f64::from(requests) - available;
        if missing <= 0.0 || !has_engine {
            return time::Duration::ZERO;
        }
        // Limits of zero give an infinite time.
        time::Duration::try_from_secs_f64(missing / rate).unwrap_or(time::Duration::MAX)
    }

    /// Returns the process that sent an update. Called before the update is applied.
    pub(super) fn report_source(
        &self,
        now: clock::Timestamp,
        update: &instance_update::InstanceUpdate,
    ) -> limit_report::ReportSource {
        limit_report::ReportSource {
            address: update.address,
            incarnation: update.incarnation,
            was_silent: !self.instances.is_alive(now, update.address),
        }
    }

    /// Recomputes the share of the limits that the instances in touch use, and forgets outdated
    /// limits. Known instances that are out of touch may still send requests.
    pub(super) fn refresh_limits(&mut self, now: clock::Timestamp) {
        if self.limits.is_empty() {
            return;
        }
        let (alive, known) = self.instances.alive_and_known(now);
        self.limits
            .set_share(now, f64::from(alive) / f64::from(known));
        let servers = self.backends.table().values();
        let listed = servers
            .filter(|backend| backend.listed)
            .map(|backend| backend.incarnation)
            .collect();
        self.limits.remove_outdated(now, &listed);
    }
}
