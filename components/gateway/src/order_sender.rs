//! Sends orders to engines.

use std::{sync, time};

use crate::{decision_event, decision_log, gateway_metrics, relay_client, shared_core};

/// Time between checks whether an order is due.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Time within which an engine has to answer an order.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Sends due orders to engines; runs until the process exits.
pub async fn run_order_sender(
    core: sync::Arc<shared_core::SharedCore>,
    client: sync::Arc<dyn relay_client::RelayClient>,
    log: sync::Arc<decision_log::DecisionLog>,
    metrics: sync::Arc<gateway_metrics::GatewayMetrics>,
    clock: sync::Arc<dyn clock::ClockSource>,
) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let wall_millis = clock.wall_millis();
        let due = core.decide(|core, now| core.due_orders(now, wall_millis));
        for order in due {
            core.state_changed.notify_one();
            let outcome = send_order(&core, &*client, &log, &order).await;
            metrics.ordered(outcome);
        }
    }
}

async fn send_order(
    core: &shared_core::SharedCore,
    client: &dyn relay_client::RelayClient,
    log: &decision_log::DecisionLog,
    order: &relay::StageOrder,
) -> &'static str {
    let answered = tokio::time::timeout(ORDER_TIMEOUT, client.order(order)).await;
    let outcome: &'static str = match &answered {
        Ok(Ok(reply)) => reply.into(),
        Ok(Err(error)) => error.into(),
        Err(_) => "no_answer",
    };
    if matches!(answered, Ok(Ok(relay_client::OrderReply::Fenced))) {
        core.decide(|core, _| core.record_fenced_order(order.fence));
    }
    log.write(&decision_event::DecisionEvent::Ordered {
        server: order.entry.server.as_str(),
        stage: order.stage.into(),
        fence: order.fence,
        prefill_engines: order.share.prefill,
        decode_engines: order.share.decode,
        prefill_cost_ms: order.cost.prefill_millis,
        decode_cost_ms: order.cost.decode_millis,
        outcome,
    });
    outcome
}
