//! Keeps the view of the platform current.

use std::{net, sync, time};

use http_body_util::BodyExt as _;

use crate::{core_port, decision_event, decision_log, gateway_metrics, site_source};

/// Path at which an instance gives its view to others.
pub const VIEW_PATH: &str = "/view";

/// Header field with the age of a view, in milliseconds.
pub const AGE_HEADER: &str = "view-age-ms";

/// Time that the store is given to answer before another instance is asked.
const COPY_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Time that another instance is given to send its view.
const COPY_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Keeps the view of the platform current.
pub struct ViewReader {
    port: sync::Arc<core_port::CorePort>,
    source: sync::Arc<dyn site_source::SiteSource>,
    log: sync::Arc<decision_log::DecisionLog>,
    metrics: sync::Arc<gateway_metrics::GatewayMetrics>,
    pool: sync::Arc<client::ConnectionPool>,
    peer_port: u16,
    lost_at: Option<clock::Timestamp>,
    needs_all: bool,
    was_ready: bool,
}

impl ViewReader {
    /// Makes a reader.
    #[must_use]
    pub const fn new(
        port: sync::Arc<core_port::CorePort>,
        source: sync::Arc<dyn site_source::SiteSource>,
        log: sync::Arc<decision_log::DecisionLog>,
        metrics: sync::Arc<gateway_metrics::GatewayMetrics>,
        pool: sync::Arc<client::ConnectionPool>,
        peer_port: u16,
    ) -> Self {
        Self {
            port,
            source,
            log,
            metrics,
            pool,
            peer_port,
            lost_at: None,
            needs_all: false,
            was_ready: false,
        }
    }

    /// Reads as long as the process lives.
    pub async fn run(mut self) {
        loop {
            self.wait_for_turn().await;
            self.read_once().await;
        }
    }

    async fn wait_for_turn(&self) {
        loop {
            let (due, now) = self.port.decide(|core, now| (core.next_read(now), now));
            if due <= now {
                return;
            }
            let behind = self.port.view_behind.notified();
            // The turn may come later than it seemed, when news refresh the view.
            let _notified = tokio::time::timeout(due.since(now), behind).await;
        }
    }

    async fn read_once(&mut self) {
        let (asked, after, fingerprint) = self.port.decide(|core, now| {
            let tracker = core.tracker();
            let after = tracker.age(now).map(|_| tracker.view().revision);
            (now, after, tracker.fingerprint())
        });
        let after = after.filter(|_| !self.needs_all);
        match self.read_or_copy(after, fingerprint).await {
            Ok(update) => {
                self.needs_all = false;
                self.metrics.store_read("read");
                self.regained();
                self.port
                    .decide_and_grant(|core, now| core.apply_store_read(now, asked, update));
                self.note_change("store", fingerprint);
            }
            Err(error) => {
                self.metrics.store_read((&error).into());
                self.needs_all |= matches!(error, site_source::SourceError::Compacted { .. });
                if self.needs_all {
                    return;
                }
                self.port
                    .decide_and_grant(|core, now| core.record_read_failure(now));
                self.lost(&error);
                self.copy_view(fingerprint).await;
            }
        }
    }

    /// Reads the store; as long as it doesn't answer, newer views of other instances are taken over.
    async fn read_or_copy(
        &mut self,
        after: Option<u64>,
        fingerprint: u64,
    ) -> Result<relay::ViewUpdate, site_source::SourceError> {
        let source = sync::Arc::clone(&self.source);
        let port = sync::Arc::clone(&self.port);
        let reading = source.read(after);
        tokio::pin!(reading);
        loop {
            let behind = async {
                if !port.decide(|core, _| core.is_behind()) {
                    port.view_behind.notified().await;
                }
                tokio::time::sleep(COPY_PAUSE).await;
            };
            tokio::select! {
                result = reading.as_mut() => return result,
                () = behind => self.copy_view(fingerprint).await,
            }
        }
    }

    /// Takes over the view of another instance, when that one is newer.
    async fn copy_view(&mut self, fingerprint: u64) {
        let target = self.port.decide(|core, now| {
            let known = core.tracker().is_known();
            core.instances()
                .best_view(now)
                .filter(|_| !known || core.is_behind())
        });
        let Some(target) = target else { return };
        let address = net::SocketAddr::from((target, self.peer_port));
        let copied = tokio::time::timeout(COPY_TIMEOUT, self.fetch(address)).await;
        let (view, age) = match copied {
            Ok(Ok(copied)) => copied,
            Ok(Err(error)) => return self.log_lost("instance", &error.to_string()),
            Err(_) => return self.log_lost("instance", "no view in time"),
        };
        self.port
            .decide_and_grant(|core, now| core.apply_peer_view(now, view, age));
        self.note_change("instance", fingerprint);
    }

    async fn fetch(
        &self,
        address: net::SocketAddr,
    ) -> Result<(relay::SiteView, time::Duration), border::BorderError> {
        let mut request = http::Request::new(http_body_util::Full::default());
        *request.uri_mut() = http::Uri::from_static(VIEW_PATH);
        let mut answer = self
            .pool
            .send(address, request, clock::Timestamp::MAX)
            .await?;
        let body = answer.whole_body().await?;
        let age = answer
            .headers()
            .get(AGE_HEADER)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse().ok())
            .map(time::Duration::from_millis);
        let view = serde_json::from_slice(&body).ok();
        view.zip(age).ok_or_else(|| border::BorderError::Malformed {
            detail: "the answer holds no view".to_owned(),
        })
    }

    fn note_change(&mut self, source: &str, before: u64) {
        let (view, fingerprint) = self.port.decide(|core, _| {
            let tracker = core.tracker();
            (tracker.view().clone(), tracker.fingerprint())
        });
        self.note_readiness();
        if fingerprint == before {
            return;
        }
        self.port.usage_changed.notify_one();
        self.log
            .write(&decision_event::DecisionEvent::view_changed(source, &view));
    }

    fn note_readiness(&mut self) {
        let ready = self.port.decide(|core, _| core.is_ready());
        if ready != self.was_ready {
            self.was_ready = ready;
            self.log
                .write(&decision_event::DecisionEvent::ReadinessChanged { ready });
        }
    }

    fn lost(&mut self, error: &site_source::SourceError) {
        if self.lost_at.is_some() {
            return;
        }
        self.lost_at = Some(self.port.now());
        self.log_lost("store", &error.to_string());
    }

    fn log_lost(&self, name: &str, error: &str) {
        let age = self.port.decide(|core, now| core.tracker().age(now));
        self.log
            .write(&decision_event::DecisionEvent::DependencyLost {
                name,
                error,
                view_age_ms: age.map(crate::gateway::millis),
            });
    }

    fn regained(&mut self) {
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        let lost_ms = crate::gateway::millis(self.port.now().since(lost_at));
        self.log
            .write(&decision_event::DecisionEvent::DependencyRegained {
                name: "store",
                lost_ms,
            });
    }
}

/// Answers another instance that asks for the view.
///
/// # Errors
///
/// Returns the codec's error when the view can't be encoded.
pub async fn answer_view(
    port: &core_port::CorePort,
    request: http::Request<hyper::body::Incoming>,
) -> Result<http::Response<http_body_util::Full<bytes::Bytes>>, serde_json::Error> {
    let is_view = request.uri().path() == VIEW_PATH;
    // The request has no body that matters; reading it keeps the connection usable.
    let _body = request.into_body().collect().await;
    let (view, age) = port.decide(|core, now| {
        let tracker = core.tracker();
        (tracker.view().clone(), tracker.age(now))
    });
    let mut response = http::Response::new(http_body_util::Full::default());
    let Some(age) = age.filter(|_| is_view) else {
        *response.status_mut() = http::StatusCode::NOT_FOUND;
        return Ok(response);
    };
    *response.body_mut() = bytes::Bytes::from(serde_json::to_vec(&view)?).into();
    response.headers_mut().insert(
        AGE_HEADER,
        http::HeaderValue::from(crate::gateway::millis(age)),
    );
    Ok(response)
}
