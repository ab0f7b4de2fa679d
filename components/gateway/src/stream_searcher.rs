//! Asks engines about streams that no instance knows.

use std::{sync, time};

use crate::{decision_event, decision_log, gateway, relay_client, shared_core, site_source};

/// Time within which an engine has to answer, and the platform's store.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Asks engines about streams that no instance knows, once for all that are taken up after all instances
/// have ended; runs until the process exits.
#[derive(Clone)]
pub struct StreamSearcher {
    core: sync::Arc<shared_core::SharedCore>,
    client: sync::Arc<dyn relay_client::RelayClient>,
    source: sync::Arc<dyn site_source::SiteSource>,
    log: sync::Arc<decision_log::DecisionLog>,
    clock: sync::Arc<dyn clock::ClockSource>,
}

impl StreamSearcher {
    /// Creates a searcher.
    #[must_use]
    pub const fn new(
        core: sync::Arc<shared_core::SharedCore>,
        client: sync::Arc<dyn relay_client::RelayClient>,
        source: sync::Arc<dyn site_source::SiteSource>,
        log: sync::Arc<decision_log::DecisionLog>,
        clock: sync::Arc<dyn clock::ClockSource>,
    ) -> Self {
        Self {
            core,
            client,
            source,
            log,
            clock,
        }
    }

    /// Searches whenever the core decides so; runs until the process exits.
    pub async fn run(self) {
        loop {
            let (search, wait) = self.core.decide(|core, now| core.next_search(now));
            if let Some(search) = search {
                self.search(search).await;
                continue;
            }
            let sought = self.core.stream_sought.notified();
            match wait {
                Some(wait) => tokio::time::sleep(wait).await,
                None => sought.await,
            }
        }
    }

    async fn search(&self, search: relay::StreamSearch) {
        let started = self.core.now();
        let mut asking = tokio::task::JoinSet::new();
        for engine in search.engines.clone() {
            let client = sync::Arc::clone(&self.client);
            asking.spawn(async move {
                let asking = client.memory(&engine);
                tokio::time::timeout(ANSWER_TIMEOUT, asking).await
            });
        }
        let reading = tokio::time::timeout(ANSWER_TIMEOUT, self.source.history());
        let (memories, history) = tokio::join!(asking.join_all(), reading);
        let result = relay::SearchResult {
            search,
            memories: memories.into_iter().flatten().flatten().collect(),
            history: history.ok().and_then(Result::ok).unwrap_or_default(),
            wall_millis: self.clock.wall_millis(),
        };
        let summary = self
            .core
            .decide(|core, now| core.apply_search(now, &result));
        self.core.state_changed.notify_one();
        self.log
            .write(&decision_event::DecisionEvent::StreamsSearched {
                asked: summary.asked,
                answered: summary.answered,
                runs: summary.runs,
                parts: summary.proven.total(),
                sent_first: summary.proven.sent_first,
                ambiguous: summary.unproven.total(),
                several_versions: summary.unproven.several_versions,
                no_decode_engine: summary.unproven.no_decode_engine,
                others_silent: summary.unproven.others_silent,
                history_short: summary.unproven.history_short,
                others_left: summary.unproven.others_left,
                history_ms: gateway::millis(result.history.span),
                took_ms: gateway::millis(self.core.now().since(started)),
            });
    }
}
