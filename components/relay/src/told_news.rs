//! What this instance has told the others.

use std::{collections, time};

use crate::engine_usage;

/// Time after which all is told, whatever has changed: news may be lost.
const TELLING_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// What this instance has told the others, to find out what has changed since.
#[derive(Debug, Default)]
pub(crate) struct ToldNews {
    all_told_at: Option<clock::Timestamp>,
    /// Fingerprint of the view.
    view: u64,
    fence: u64,
    paused: Vec<u64>,
    usage: collections::BTreeMap<u64, engine_usage::EngineUsage>,
    retries: u32,
}

impl ToldNews {
    /// Returns whether all must be told, rather than what partial news can hold.
    pub(crate) fn needs_all(
        &self,
        now: clock::Timestamp,
        view: u64,
        fence: u64,
        paused: &[u64],
    ) -> bool {
        let is_old = self
            .all_told_at
            .is_none_or(|told_at| now.since(told_at) >= TELLING_INTERVAL);
        is_old || self.view != view || self.fence != fence || self.paused != paused
    }

    /// Notes that all is told.
    pub(crate) fn note_all(
        &mut self,
        now: clock::Timestamp,
        view: u64,
        fence: u64,
        paused: Vec<u64>,
    ) {
        self.all_told_at = Some(now);
        self.view = view;
        self.fence = fence;
        self.paused = paused;
    }

    /// Notes what is used now; returns what differs from what was told, idle servers included.
    ///
    /// That streams have generated more is no difference: the others expect it.
    pub(crate) fn usage_changes(
        &mut self,
        usage: Vec<(u64, engine_usage::EngineUsage)>,
    ) -> Vec<(u64, engine_usage::EngineUsage)> {
        let current: collections::BTreeMap<u64, engine_usage::EngineUsage> =
            usage.into_iter().collect();
        let ended = self
            .usage
            .keys()
            .filter(|server| !current.contains_key(server))
            .map(|server| (*server, engine_usage::EngineUsage::default()));
        let changed = current
            .iter()
            .filter(|(server, usage)| {
                self.usage
                    .get(server)
                    .is_none_or(|told| told.requests() != usage.requests())
            })
            .map(|(server, usage)| (*server, usage.clone()));
        let changes = ended.chain(changed).collect();
        self.usage = current;
        changes
    }

    /// Notes the counts of repeats; returns whether any was added since they were told.
    pub(crate) fn repeats_changed(&mut self, retries: &[(u64, retry::RetryCount)]) -> bool {
        let retries = retries.iter().map(|(_, count)| count.retries).sum();
        let changed = retries != self.retries;
        self.retries = retries;
        changed
    }
}
