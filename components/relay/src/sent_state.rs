//! State that this instance has sent to the others.

use std::{collections, time};

use crate::{crash_report, engine_usage, limit_report};

/// State that only full updates contain; a change of it makes a full update due.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct FullState {
    /// Fingerprint of the view.
    pub(crate) fingerprint: u64,
    /// Fencing number of the last order.
    pub(crate) fence: u64,
    /// Engines that are paused for all instances.
    pub(crate) paused: Vec<u64>,
    /// Servers that are draining.
    pub(crate) draining: Vec<u64>,
    /// Servers that can't be reached.
    pub(crate) unreachable: Vec<u64>,
    /// Services that are out of reach.
    pub(crate) out_of_reach: Vec<u64>,
    /// Reports of crashes.
    pub(crate) crash_reports: Vec<crash_report::CrashReport>,
    /// Suspects that are cleared.
    pub(crate) cleared_suspects: Vec<u64>,
    /// Suspects in quarantine.
    pub(crate) quarantined_suspects: Vec<u64>,
}

/// State that this instance has last sent to the others, from which partial updates are computed.
#[derive(Debug, Default)]
pub(crate) struct SentState {
    full_update_at: Option<clock::Timestamp>,
    /// State in the last full update.
    full_state: FullState,
    usage: collections::BTreeMap<u64, engine_usage::EngineUsage>,
    retry_count: u32,
    /// Reports of rate limits, by server.
    limits: collections::BTreeMap<u64, limit_report::LimitReport>,
}

impl SentState {
    /// Returns whether a full update is due: after the interval, or when state has changed that a
    /// partial update doesn't contain.
    pub(crate) fn needs_full_update(
        &self,
        now: clock::Timestamp,
        interval: time::Duration,
        state: &FullState,
    ) -> bool {
        let is_due = self
            .full_update_at
            .is_none_or(|sent_at| now.since(sent_at) >= interval);
        is_due || self.full_state != *state
    }

    /// Records that a full update is sent.
    pub(crate) fn record_full_update(&mut self, now: clock::Timestamp, state: FullState) {
        self.full_update_at = Some(now);
        self.full_state = state;
    }

    /// Records the current usage; returns the difference from the usage sent before, with empty
    /// usage for servers that became idle.
    ///
    /// The progress of streams doesn't count as a difference, since the other instances estimate
    /// it.
    pub(crate) fn record_usage(
        &mut self,
        usage: Vec<(u64, engine_usage::EngineUsage)>,
    ) -> Vec<(u64, engine_usage::EngineUsage)> {
        let current: collections::BTreeMap<u64, engine_usage::EngineUsage> =
            usage.into_iter().collect();
        let idle = self
            .usage
            .keys()
            .filter(|server| !current.contains_key(server))
            .map(|server| (*server, engine_usage::EngineUsage::default()));
        let changed = current
            .iter()
            .filter(|(server, usage)| {
                self.usage
                    .get(server)
                    .is_none_or(|sent| sent.counts() != usage.counts())
            })
            .map(|(server, usage)| (*server, usage.clone()));
        let changes = idle.chain(changed).collect();
        self.usage = current;
        changes
    }

    /// Records the current retry counts; returns whether the total number of retries has changed
    /// since the last call.
    pub(crate) fn record_retries(&mut self, retries: &[(u64, retry::RetryCount)]) -> bool {
        let retry_count = retries.iter().map(|(_, count)| count.retries).sum();
        let changed = retry_count != self.retry_count;
        self.retry_count = retry_count;
        changed
    }

    /// Records the current reports of rate limits; returns those with another limit or more requests
    /// than the last ones.
    pub(crate) fn record_limits(
        &mut self,
        reports: Vec<limit_report::LimitReport>,
    ) -> Vec<limit_report::LimitReport> {
        let changed = reports
            .iter()
            .filter(|report| {
                let sent = self.limits.get(&report.server);
                sent.is_none_or(|sent| !sent.has_same_content(report))
            })
            .copied()
            .collect();
        self.limits = reports
            .into_iter()
            .map(|report| (report.server, report))
            .collect();
        changed
    }
}
