//! Refuses queued requests whose wait for a placement has timed out.

use std::{sync, time};

use crate::shared_core;

/// Longest sleep while no queued request has a timeout.
const MAX_SLEEP: time::Duration = time::Duration::from_secs(60);

/// Refuses queued requests as their timeouts pass; runs until the process exits.
pub async fn run_queue_timer(core: sync::Arc<shared_core::SharedCore>) {
    loop {
        let (next, now) = core.decide(|core, now| (core.next_queue_deadline(), now));
        let sleep = next.map_or(MAX_SLEEP, |next| next.since(now));
        let changed = core.queue_changed.notified();
        let _notified = tokio::time::timeout(sleep, changed).await;
        core.decide_and_poll_queue(|_, _| ());
    }
}
