//! Keeps the view of the platform up to date.

use std::{net, sync, time};

use crate::{
    decision_event, decision_log, gateway_metrics, shared_core, site_source, view_message,
    view_transfer,
};

/// Delay after which an outdated view is copied from another instance while a read of the store is
/// in progress.
const PEER_COPY_DELAY: time::Duration = time::Duration::from_millis(150);

/// Time limits of copying the view of another instance.
const COPY_LIMITS: client::FetchLimits = client::FetchLimits {
    head: time::Duration::from_millis(700),
    pause: time::Duration::from_millis(700),
    body: time::Duration::from_secs(3),
};

/// Identity of a view for the log: its content, and the era of the store from which it was read.
#[derive(Clone, Copy, Eq, PartialEq)]
struct ViewIdentity {
    fingerprint: u64,
    era: u64,
}

impl ViewIdentity {
    fn of(tracker: &relay::ViewTracker) -> Self {
        Self {
            fingerprint: tracker.fingerprint(),
            era: tracker.view().position.era,
        }
    }
}

/// Keeps the view of the platform up to date: reads the platform's store, and copies the view of
/// another instance while the store doesn't answer.
#[derive(Clone)]
pub struct ViewReader {
    core: sync::Arc<shared_core::SharedCore>,
    source: sync::Arc<dyn site_source::SiteSource>,
    log: sync::Arc<decision_log::DecisionLog>,
    metrics: sync::Arc<gateway_metrics::GatewayMetrics>,
    pool: sync::Arc<client::ConnectionPool>,
    peer_port: u16,
    /// Time at which the store stopped answering.
    lost_at: Option<clock::Timestamp>,
    was_ready: bool,
}

impl ViewReader {
    /// Creates a reader.
    #[must_use]
    pub const fn new(
        core: sync::Arc<shared_core::SharedCore>,
        source: sync::Arc<dyn site_source::SiteSource>,
        log: sync::Arc<decision_log::DecisionLog>,
        metrics: sync::Arc<gateway_metrics::GatewayMetrics>,
        pool: sync::Arc<client::ConnectionPool>,
        peer_port: u16,
    ) -> Self {
        Self {
            core,
            source,
            log,
            metrics,
            pool,
            peer_port,
            lost_at: None,
            was_ready: false,
        }
    }

    /// Reads the store and copies newer views of other instances when that is due; runs until the
    /// process exits.
    pub async fn run(mut self) {
        loop {
            match self.wait_for_step().await {
                relay::ViewStep::Read => self.read_once().await,
                relay::ViewStep::Copy(source) => {
                    let before = self.core.decide(|core, _| ViewIdentity::of(core.tracker()));
                    self.copy_view(source, before).await;
                }
            }
        }
    }

    async fn wait_for_step(&self) -> relay::ViewStep {
        loop {
            let ((due, step), now) = self
                .core
                .decide(|core, now| (core.next_view_step(now), now));
            if due <= now {
                return step;
            }
            let view_behind = self.core.view_behind.notified();
            // State updates may have refreshed the view, which postpones the read.
            let _notified = tokio::time::timeout(due.since(now), view_behind).await;
        }
    }

    async fn read_once(&mut self) {
        let (requested_at, after, before) = self.core.decide(|core, now| {
            let tracker = core.tracker();
            (now, tracker.read_base(), ViewIdentity::of(tracker))
        });
        match self.read_or_copy(after, before).await {
            Ok(update) => {
                self.metrics.store_read("read");
                self.mark_store_recovered();
                self.core.decide_and_poll_queue(|core, now| {
                    core.apply_store_read(now, requested_at, update)
                });
                self.log_view_change("store", before);
            }
            Err(error) => {
                self.metrics.store_read((&error).into());
                if matches!(error, site_source::SourceError::Compacted { .. }) {
                    // A complete read follows at once.
                    self.core.decide(|core, _| core.record_compaction());
                    return;
                }
                // Changes that can't be read, as too many at once, are left out by a complete read,
                // which comes in pages.
                if matches!(error, site_source::SourceError::Malformed { .. }) {
                    self.core.decide(|core, _| core.record_compaction());
                }
                self.core
                    .decide_and_poll_queue(|core, now| core.record_read_failure(now));
                self.mark_store_lost(&error);
                self.copy_newer_view(before).await;
            }
        }
    }

    /// Reads the store; while the store doesn't answer, copies newer views of other instances.
    async fn read_or_copy(
        &mut self,
        after: Option<u64>,
        before: ViewIdentity,
    ) -> Result<relay::ViewUpdate, site_source::SourceError> {
        let source = sync::Arc::clone(&self.source);
        let core = sync::Arc::clone(&self.core);
        let read = source.read(after);
        tokio::pin!(read);
        loop {
            let copy_due = async {
                if !core.decide(|core, _| core.is_behind()) {
                    core.view_behind.notified().await;
                }
                tokio::time::sleep(PEER_COPY_DELAY).await;
            };
            tokio::select! {
                result = read.as_mut() => return result,
                () = copy_due => self.copy_newer_view(before).await,
            }
        }
    }

    /// Copies the view of another instance, if one has a newer view or this instance has none.
    async fn copy_newer_view(&mut self, before: ViewIdentity) {
        let source = self.core.decide(|core, now| {
            let is_outdated = !core.tracker().is_known() || core.is_behind();
            core.copy_source(now).filter(|_| is_outdated)
        });
        if let Some(source) = source {
            self.copy_view(source, before).await;
        }
    }

    /// Copies the view of another instance.
    async fn copy_view(&mut self, source: net::Ipv4Addr, before: ViewIdentity) {
        let address = net::SocketAddr::from((source, self.peer_port));
        let mut transfer = view_transfer::ViewTransfer::start(address);
        match self.fetch(address, &mut transfer).await {
            Ok((view, age)) => {
                self.log_transfer("copied", &transfer);
                // The view was current when the other instance began to send it.
                let age = age + transfer.elapsed();
                self.core
                    .decide_and_poll_queue(|core, now| core.apply_peer_view(now, view, age));
                self.log_view_change("instance", before);
            }
            Err(error) => {
                self.log_transfer("failed", &transfer);
                self.core
                    .decide(|core, now| core.record_copy_failure(now, source));
                self.log_dependency_lost("instance", &error.to_string());
            }
        }
    }

    fn log_transfer(&self, outcome: &'static str, transfer: &view_transfer::ViewTransfer) {
        self.metrics
            .view_copied(outcome, transfer.received_bytes(), transfer.elapsed());
        self.log.write(&transfer.event(outcome));
    }

    async fn fetch(
        &self,
        address: net::SocketAddr,
        transfer: &mut view_transfer::ViewTransfer,
    ) -> Result<(relay::SiteView, time::Duration), border::BorderError> {
        let version = self
            .core
            .decide(|core, _| core.tracker().view().config_version());
        let request =
            view_message::request(version).map_err(|error| border::BorderError::NotSent {
                detail: error.to_string(),
            })?;
        let answer = self
            .pool
            .fetch(address, request, COPY_LIMITS, |bytes| {
                transfer.record(bytes);
            })
            .await?;
        view_message::decode(&answer, self.pool.answer_limit_bytes())
    }

    /// Logs the view if it isn't the one `before`.
    fn log_view_change(&mut self, source: &str, before: ViewIdentity) {
        let (view, identity) = self.core.decide(|core, _| {
            let tracker = core.tracker();
            (tracker.view().clone(), ViewIdentity::of(tracker))
        });
        self.log_readiness_change();
        self.log.write_list_changes(source, &self.core);
        if identity == before {
            return;
        }
        self.core.state_changed.notify_one();
        self.log
            .write(&decision_event::DecisionEvent::view_changed(source, &view));
    }

    fn log_readiness_change(&mut self) {
        let ready = self.core.decide(|core, _| core.is_ready());
        if ready != self.was_ready {
            self.was_ready = ready;
            self.log
                .write(&decision_event::DecisionEvent::ReadinessChanged { ready });
        }
    }

    fn mark_store_lost(&mut self, error: &site_source::SourceError) {
        if self.lost_at.is_some() {
            return;
        }
        self.lost_at = Some(self.core.now());
        self.log_dependency_lost("store", &error.to_string());
    }

    fn log_dependency_lost(&self, name: &str, error: &str) {
        let age = self.core.decide(|core, now| core.tracker().age(now));
        self.log
            .write(&decision_event::DecisionEvent::DependencyLost {
                name,
                error,
                view_age_ms: age.map(crate::gateway::millis),
            });
    }

    fn mark_store_recovered(&mut self) {
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        let lost_ms = crate::gateway::millis(self.core.now().since(lost_at));
        self.log
            .write(&decision_event::DecisionEvent::DependencyRegained {
                name: "store",
                lost_ms,
            });
    }
}

/// Answers a request of another instance for the view; answers 404 for another path, or when this
/// instance has no view.
///
/// # Errors
///
/// Returns the codec's error when the view can't be encoded.
pub fn answer_view<B>(
    core: &shared_core::SharedCore,
    request: &http::Request<B>,
) -> Result<http::Response<http_body_util::Full<bytes::Bytes>>, serde_json::Error> {
    let is_view = request.uri().path() == view_message::VIEW_PATH;
    let (age, own_version) = core.decide(|core, now| {
        let tracker = core.tracker();
        (tracker.age(now), tracker.view().config_version())
    });
    let form = view_message::ViewForm::requested(request, own_version);
    let Some(age) = age.filter(|_| is_view) else {
        let mut response = http::Response::new(http_body_util::Full::default());
        *response.status_mut() = http::StatusCode::NOT_FOUND;
        return Ok(response);
    };
    let body = core.encoded_view(form)?;
    Ok(view_message::answer(
        body,
        form,
        crate::gateway::millis(age),
    ))
}
