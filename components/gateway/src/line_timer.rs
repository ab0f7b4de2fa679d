//! Refuses requests that have waited too long for a place.

use std::{sync, time};

use crate::core_port;

/// Time between looks at the line when nothing in it is due.
const IDLE_INTERVAL: time::Duration = time::Duration::from_secs(60);

/// Refuses requests that have waited too long, as long as the process lives.
pub async fn run_line_timer(port: sync::Arc<core_port::CorePort>) {
    loop {
        let (next, now) = port.decide(|core, now| (core.next_queue_deadline(), now));
        let pause = next.map_or(IDLE_INTERVAL, |next| next.since(now));
        let changed = port.line_changed.notified();
        let _notified = tokio::time::timeout(pause, changed).await;
        port.decide_and_grant(|_, _| ());
    }
}
