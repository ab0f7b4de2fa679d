//! Binds streams to the software version of the engine that began them.

use std::time;

use crate::stream_opener;

/// Time for which the version of a stream is looked up while several versions serve. Other instances
/// tell of a stream before its first event, so that only late state updates are waited for.
const LOOKUP_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Time between two lookups.
const LOOKUP_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Retry delay that callers receive when the version of their stream is unknown.
const UNKNOWN_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

impl stream_opener::StreamOpener {
    /// Looks up the software version of a stream that the request takes up, and binds the stream to
    /// it.
    pub(crate) async fn bind_to_origin(&mut self) -> Result<(), relay::Refusal> {
        if !self.routed.request.takes_up_stream() {
            return Ok(());
        }
        let started = self.gateway.core.now();
        loop {
            let found = self.find_software();
            let waited = self.gateway.core.now().since(started);
            match found {
                relay::StreamSoftware::Known(software) => {
                    self.software = Some(software);
                    self.is_resumption = true;
                    return Ok(());
                }
                relay::StreamSoftware::Only(software) => {
                    self.software = Some(software);
                    return Ok(());
                }
                relay::StreamSoftware::Unknown if waited >= LOOKUP_TIMEOUT => {
                    return Err(relay::Refusal {
                        reason: relay::RefusalReason::VersionUnknown,
                        retry_after: UNKNOWN_RETRY_AFTER,
                    });
                }
                relay::StreamSoftware::Unknown | relay::StreamSoftware::Learning => {
                    tokio::time::sleep(LOOKUP_INTERVAL).await;
                }
            }
        }
    }

    fn find_software(&self) -> relay::StreamSoftware {
        let request = &self.routed.request;
        let stream = request.begun_by.as_deref().map(relay::stream_hash);
        self.gateway
            .core
            .decide(|core, now| core.stream_software(now, &self.routed.service, stream))
    }

    /// Records the software version of the engine that is sent the request, and tells the other
    /// instances, where the caller may take the stream up.
    pub(super) fn record_origin(&self, engine: &relay::BackendEntry) {
        if !self.routed.route.resumable {
            return;
        }
        let request = &self.routed.request;
        let stream = relay::stream_hash(request.begun_by.as_ref().unwrap_or(&request.id));
        let deadline = self.routed.arrived + request.time_left;
        let software = relay::SoftwareKey::of(engine);
        self.gateway.core.decide(|core, now| {
            core.record_origin(now, stream, software, deadline.since(now));
        });
        self.gateway.core.state_changed.notify_one();
    }
}
