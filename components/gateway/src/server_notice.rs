//! Notices of servers about themselves, received with their answers.

use std::{sync, time};

use crate::{decision_event, decision_log, gateway, shared_core};

/// Notice of a server about itself, received with an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerNotice {
    /// The server is draining.
    Draining,
    /// The server asks this instance to send nothing for a while.
    Backoff {
        /// Value as received.
        value: String,
        /// Time that it stands for; `None` if the value is invalid.
        wait: Option<time::Duration>,
    },
    /// The server limits the rate of the requests from all instances together.
    RateLimit {
        /// Value as received.
        value: String,
        /// Requests per second; `None` if the value is invalid.
        rate: Option<f64>,
    },
    /// The server names no rate limit.
    NoRateLimit,
}

/// Answer with which a notice was received.
#[derive(Clone, Copy, Debug)]
pub struct NoticeSource<'a> {
    /// Key of the server.
    pub key: relay::BackendKey,
    /// Name of the server.
    pub server: &'a ids::ServerName,
    /// Id of the answered request.
    pub id: &'a str,
}

/// Receives the notices of servers.
pub trait NoticeSink: Send + Sync {
    /// Records a notice.
    fn record(&self, source: NoticeSource<'_>, notice: ServerNotice);
}

/// Records the notices of servers in the core and in the decision log.
pub struct NoticeRecorder {
    core: sync::Arc<shared_core::SharedCore>,
    log: sync::Arc<decision_log::DecisionLog>,
}

impl NoticeRecorder {
    /// Creates a recorder.
    #[must_use]
    pub const fn new(
        core: sync::Arc<shared_core::SharedCore>,
        log: sync::Arc<decision_log::DecisionLog>,
    ) -> Self {
        Self { core, log }
    }
}

impl NoticeRecorder {
    /// Records the rate limit of an answer; `value` is its text, if the server names one. An invalid
    /// value is logged and changes nothing.
    fn record_rate_limit(&self, source: NoticeSource<'_>, value: Option<&str>, rate: Option<f64>) {
        let is_invalid = value.is_some() && rate.is_none();
        let is_new = !is_invalid
            && self
                .core
                .decide(|core, now| core.record_rate_limit(now, source.key, rate));
        if is_new {
            self.core.state_changed.notify_one();
        }
        if is_new || is_invalid {
            self.log
                .write(&decision_event::DecisionEvent::ServerRateLimit {
                    server: source.server.as_str(),
                    id: source.id,
                    value,
                    limit_per_s: rate,
                });
        }
    }
}

impl NoticeSink for NoticeRecorder {
    fn record(&self, source: NoticeSource<'_>, notice: ServerNotice) {
        let server = source.server.as_str();
        let id = source.id;
        match notice {
            ServerNotice::Draining => {
                let is_new = self
                    .core
                    .decide(|core, now| core.record_draining(now, source.key));
                if is_new {
                    self.core.state_changed.notify_one();
                    self.log
                        .write(&decision_event::DecisionEvent::ServerDraining { server, id });
                }
            }
            ServerNotice::Backoff { value, wait } => {
                let applied = wait.map(|wait| {
                    self.core
                        .decide(|core, now| core.record_backoff(now, source.key, wait))
                });
                self.log
                    .write(&decision_event::DecisionEvent::ServerBackoff {
                        server,
                        id,
                        value: &value,
                        wait_ms: applied.map(gateway::millis),
                    });
            }
            ServerNotice::RateLimit { value, rate } => {
                self.record_rate_limit(source, Some(&value), rate);
            }
            ServerNotice::NoRateLimit => self.record_rate_limit(source, None, None),
        }
    }
}
