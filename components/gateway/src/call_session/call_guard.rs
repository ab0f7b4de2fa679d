//! Reports the outcome of a call at a server.

use std::sync;

use crate::gateway;

/// Reports the outcome of a call at a server to the core; a call whose guard is dropped counts as
/// abandoned.
pub(super) struct CallGuard {
    pub(super) gateway: sync::Arc<gateway::Gateway>,
    pub(super) selection: relay::ServerSelection,
    pub(super) sent_at: clock::Timestamp,
    pub(super) ended: bool,
}

impl CallGuard {
    pub(super) fn end(&mut self, id: &str, outcome: relay::BackendOutcome) {
        self.ended = true;
        let key = self.selection.key;
        let sent_at = self.sent_at;
        let ejected = self
            .gateway
            .core
            .decide(|core, now| core.record_call_outcome(now, key, outcome, now.since(sent_at)));
        if self.selection.rate_limit.is_some() {
            self.gateway.core.state_changed.notify_one();
        }
        if ejected {
            let server = self.selection.entry.server.as_str();
            self.gateway.log_ejection(server, id, outcome);
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.end("", relay::BackendOutcome::Abandoned);
        }
    }
}
