//! Constructors of events from the data that they tell of.

use std::time;

use crate::{decision_event, relay_request};

impl<'a> decision_event::DecisionEvent<'a> {
    /// Creates the event for an engine that broke off before its first event.
    pub(crate) fn crash_reported(
        request: &'a relay_request::RelayRequest,
        server: &'a str,
    ) -> Self {
        Self::CrashReported {
            id: &request.id,
            server,
            segments: request.segments.iter().map(hash_text).collect(),
        }
    }

    /// Creates the event for a server that has ended under a request.
    pub(crate) fn server_ended(request: &relay_request::RelayRequest, server: &'a str) -> Self {
        Self::ServerEnded {
            server,
            request: hash_text(&request.identity.content),
        }
    }

    /// Creates the event for a changed quarantine.
    pub(crate) fn quarantine_changed(quarantined: &[(u64, time::Duration)]) -> Self {
        let remaining = quarantined.iter().map(|(_, remaining)| *remaining).max();
        Self::QuarantineChanged {
            segments: quarantined
                .iter()
                .map(|(segment, _)| hash_text(segment))
                .collect(),
            remaining_ms: crate::gateway::millis(remaining.unwrap_or_default()),
        }
    }

    /// Creates the event for a view that was adopted from `source`.
    pub(crate) fn view_changed(source: &'a str, view: &relay::SiteView) -> Self {
        Self::ViewChanged {
            source,
            era: view.position.era,
            revision: view.position.revision,
            config_version: view.config_version(),
            servers: view.backends.len(),
            leaving: view.backends.values().filter(|entry| entry.leaving).count(),
        }
    }
}

pub(crate) fn hash_text(hash: &u64) -> String {
    format!("{hash:016x}")
}
