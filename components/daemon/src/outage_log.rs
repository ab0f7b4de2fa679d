//! Tells operators when a service of the platform fails and when it answers again.

use std::{sync, sync::atomic};

/// Tells operators when a service of the platform fails and when it answers again, once each.
#[derive(Clone, Debug)]
pub(crate) struct OutageLog {
    service: &'static str,
    is_down: sync::Arc<atomic::AtomicBool>,
}

impl OutageLog {
    /// Makes the log of a service that has not failed.
    pub(crate) fn new(service: &'static str) -> Self {
        Self {
            service,
            is_down: sync::Arc::default(),
        }
    }

    /// Notes how a read of the service ended.
    pub(crate) fn note<Value>(&self, result: &Result<Value, border::BorderError>) {
        let was_down = self
            .is_down
            .swap(result.is_err(), atomic::Ordering::Relaxed);
        let service = self.service;
        match result {
            Err(error) if !was_down => tracing::warn!(service, %error, "the platform fails"),
            Err(error) => tracing::debug!(service, %error, "the platform still fails"),
            Ok(_) if was_down => tracing::info!(service, "the platform answers again"),
            Ok(_) => {}
        }
    }
}
