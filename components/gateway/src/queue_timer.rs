//! Refuses requests that have waited too long for a place.

use std::{sync, time};

use crate::shared_core;

/// Time between looks at the line when nothing in it is due.
const MAX_SLEEP: time::Duration = time::Duration::from_secs(60);

/// Refuses requests that have waited too long, as long as the process lives.
pub async fn run_queue_timer(core: sync::Arc<shared_core::SharedCore>) {
    loop {
        let (next, now) = core.decide(|core, now| (core.next_overdue(), now));
        let pause = next.map_or(MAX_SLEEP, |next| next.since(now));
        let changed = core.queue_changed.notified();
        let _notified = tokio::time::timeout(pause, changed).await;
        core.decide_and_grant(|_, _| ());
    }
}
