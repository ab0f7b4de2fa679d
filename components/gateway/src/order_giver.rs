//! Gives orders to engines.

use std::{sync, time};

use crate::{core_port, decision_event, decision_log, gateway_metrics, relay_client};

/// Time between looks whether an order is due.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Time that an engine is given to answer an order.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Gives orders to engines as long as the process lives.
pub async fn run_orders(
    port: sync::Arc<core_port::CorePort>,
    client: sync::Arc<dyn relay_client::RelayClient>,
    log: sync::Arc<decision_log::DecisionLog>,
    metrics: sync::Arc<gateway_metrics::GatewayMetrics>,
    clock: sync::Arc<dyn clock::ClockSource>,
) {
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let wall_millis = clock.wall_millis();
        let due = port.decide(|core, now| core.due_orders(now, wall_millis));
        for order in due {
            port.usage_changed.notify_one();
            let outcome = give(&port, &*client, &log, &order).await;
            metrics.ordered(outcome);
        }
    }
}

async fn give(
    port: &core_port::CorePort,
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
        port.decide(|core, _| core.record_fenced_order(order.fence));
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
