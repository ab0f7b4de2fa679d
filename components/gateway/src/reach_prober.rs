//! Probes servers that this instance has lost while others reach them.

use std::{sync, time};

use crate::{decision_event, decision_log, relay_client, shared_core};

/// Time between probes while no server answers.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Time within which a probed server has to answer.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Probes lost servers, so that callers don't pay for finding out that they are back; runs until the
/// process exits.
pub async fn run_reach_prober(
    core: sync::Arc<shared_core::SharedCore>,
    client: sync::Arc<dyn relay_client::RelayClient>,
    log: sync::Arc<decision_log::DecisionLog>,
) {
    let mut was_out_of_reach = false;
    loop {
        let probes = core.decide(|core, now| core.due_probes(now));
        let is_out_of_reach = !probes.is_empty();
        if is_out_of_reach != was_out_of_reach {
            log.write(&decision_event::DecisionEvent::ReachChanged {
                lost: is_out_of_reach,
            });
            core.state_changed.notify_one();
        }
        was_out_of_reach = is_out_of_reach;
        let mut probing = tokio::task::JoinSet::new();
        for probe in probes {
            let client = sync::Arc::clone(&client);
            probing.spawn(async move { (probe.key, has_answered(&*client, &probe).await) });
        }
        let results = probing.join_all().await;
        let any_answered = results.iter().any(|(_, answered)| *answered);
        core.decide_and_poll_queue(|core, now| {
            for (key, answered) in results {
                core.record_probe(now, key, answered);
            }
        });
        if !any_answered {
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }
}

async fn has_answered(client: &dyn relay_client::RelayClient, probe: &relay::ServerProbe) -> bool {
    tokio::time::timeout(PROBE_TIMEOUT, client.probe(probe))
        .await
        .unwrap_or(false)
}
