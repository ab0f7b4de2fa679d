//! Ends connections that have exceeded a timeout, and logs what the intake turned away.

use std::{sync, time};

/// Interval between two checks, and between two log lines.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Ends connections that have exceeded a timeout, and logs at most once a second what the intake turned
/// away.
pub(crate) async fn run(intake: sync::Arc<intake::Intake>, timeouts: intake::IntakeTimeouts) {
    let mut before = intake::TurnedAway::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        intake.expire(&timeouts);
        let after = intake.counts().turned_away();
        if after != before {
            let turned_away = after.since(before);
            let (connections, held_bytes) = intake.usage();
            tracing::warn!(
                connections,
                held_bytes,
                ended = turned_away.ended,
                refused_connections = turned_away.refused_connections,
                refused_bodies = turned_away.refused_bodies,
                "clients were turned away for lack of room or time"
            );
        }
        before = after;
    }
}
