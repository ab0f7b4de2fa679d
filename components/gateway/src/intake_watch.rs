//! Ends connections that have exceeded a timeout, and logs what the intake turned away.

use std::{sync, time};

use crate::{decision_event, decision_log, shared_core};

/// Interval between two checks, and between two log lines.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Ends connections that have exceeded a timeout, and logs at most once a second what the intake turned
/// away; runs until the process exits.
pub async fn run_intake_watch(
    core: sync::Arc<shared_core::SharedCore>,
    intake: sync::Arc<intake::Intake>,
    log: sync::Arc<decision_log::DecisionLog>,
) {
    let mut before = intake.counts().turned_away();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let config = core.decide(|core, _| core.config());
        let bounds = config.map(|config| config.bounds).unwrap_or_default();
        intake.expire(&intake::IntakeTimeouts {
            head: bounds.head_timeout,
            unread: bounds.idle_timeout,
        });
        let after = intake.counts().turned_away();
        if after != before {
            let turned_away = after.since(before);
            let (connections, held_bytes) = intake.usage();
            log.write(&decision_event::DecisionEvent::IntakeFull {
                connections,
                held_bytes,
                ended: turned_away.ended,
                refused_connections: turned_away.refused_connections,
                refused_bodies: turned_away.refused_bodies,
            });
        }
        before = after;
    }
}
