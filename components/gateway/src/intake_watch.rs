//! Ends connections that have exceeded a timeout, and logs what the intake turned away.

use std::{sync, time};

use crate::{decision_event, decision_log, shared_core};

/// Interval between two checks, and between two log lines.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Numbers of what an intake has turned away.
#[derive(Clone, Copy, Eq, PartialEq)]
struct TurnedAway {
    ended: u64,
    refused_connections: u64,
    refused_bodies: u64,
}

impl TurnedAway {
    fn of(counts: &intake::IntakeCounts) -> Self {
        let sum = |counts: &mut dyn Iterator<Item = (&'static str, u64)>| {
            counts.map(|(_, count)| count).sum()
        };
        Self {
            ended: sum(&mut counts.ended()),
            refused_connections: sum(&mut counts.refused_connections()),
            refused_bodies: sum(&mut counts.refused_bodies()),
        }
    }
}

/// Ends connections that have exceeded a timeout, and logs at most once a second what the intake turned
/// away; runs until the process exits.
pub async fn run_intake_watch(
    core: sync::Arc<shared_core::SharedCore>,
    intake: sync::Arc<intake::Intake>,
    log: sync::Arc<decision_log::DecisionLog>,
) {
    let mut before = TurnedAway::of(intake.counts());
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let config = core.decide(|core, _| core.config());
        let bounds = config.map(|config| config.bounds).unwrap_or_default();
        intake.expire(&intake::IntakeTimeouts {
            head: bounds.head_timeout,
            unread: bounds.idle_timeout,
        });
        let after = TurnedAway::of(intake.counts());
        if after != before {
            let (connections, held_bytes) = intake.usage();
            log.write(&decision_event::DecisionEvent::IntakeFull {
                connections,
                held_bytes,
                ended: after.ended - before.ended,
                refused_connections: after.refused_connections - before.refused_connections,
                refused_bodies: after.refused_bodies - before.refused_bodies,
            });
        }
        before = after;
    }
}
