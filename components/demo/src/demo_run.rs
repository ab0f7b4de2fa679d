//! The course of a demo.

use std::{sync, time};

use crate::{
    balancer, call_client, demo_error, demo_options, demo_report, demo_site, fault_script,
    generation_client, load_plan, planned_request, request_result, tally,
};

/// Time that engines get to free memory after the last answer.
const FREE_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Runs a demo.
///
/// # Errors
///
/// Returns [`demo_error::DemoError`] when it can't be started; broken promises are in the report.
pub async fn run(
    options: demo_options::DemoOptions,
) -> Result<demo_report::DemoReport, demo_error::DemoError> {
    let plan = load_plan::plan(&options);
    let mut site = demo_site::DemoSite::start(&options).await?;
    let sending = tokio::spawn(send_all(plan.clone(), sync::Arc::clone(&site.balancer)));
    let script = fault_script::run(&mut site, &options).await;
    let results = sending.await.unwrap_or_default();
    let fleet = sync::Arc::clone(&site.stands.fleet);
    demo_site::wait_for(FREE_TIMEOUT, || fleet.held_pieces() == 0).await;
    let leaked_kv_pieces = fleet.held_pieces();
    let drained = drain_all(&mut site).await;
    let tally = tally::Tally {
        seed: options.seed,
        plan: &plan,
        results: &results,
        site: &site,
        script,
        leaked_kv_pieces,
        drained,
    };
    Ok(tally.report())
}

async fn send_all(
    plan: Vec<planned_request::PlannedRequest>,
    balancer: sync::Arc<balancer::Balancer>,
) -> Vec<request_result::RequestResult> {
    let begin = time::Instant::now();
    let callers = ["coilquote", "addis"].map(|name| (name, fakes::SiteCaller::new(name)));
    let mut sending = tokio::task::JoinSet::new();
    for planned in plan {
        let caller = callers.iter().find(|(name, _)| *name == planned.workspace);
        let Some((_, caller)) = caller.cloned() else {
            continue;
        };
        let balancer = sync::Arc::clone(&balancer);
        sending.spawn(async move {
            tokio::time::sleep_until((begin + planned.at).into()).await;
            let mut result = send(planned, caller, balancer).await;
            result.ended = begin.elapsed();
            result
        });
    }
    sending.join_all().await
}

async fn send(
    planned: planned_request::PlannedRequest,
    caller: fakes::SiteCaller,
    balancer: sync::Arc<balancer::Balancer>,
) -> request_result::RequestResult {
    let number = planned.number;
    let (idempotent, keyed) = match planned.kind {
        planned_request::RequestKind::Generation {
            class,
            prompt,
            output_tokens,
            cancel_after,
        } => {
            let client = generation_client::GenerationClient {
                caller,
                balancer,
                number,
                class,
                prompt,
                output_tokens,
                cancel_after,
            };
            return client.run().await;
        }
        planned_request::RequestKind::Lookup => (true, false),
        planned_request::RequestKind::Confirm { keyed } => (false, keyed),
    };
    let client = call_client::CallClient {
        caller,
        balancer,
        number,
        idempotent,
        key: keyed.then(|| call_client::new_key(number)),
    };
    client.run().await
}

async fn drain_all(site: &mut demo_site::DemoSite) -> bool {
    let mut drained = true;
    for instance in site.instances.iter_mut().filter_map(Option::take) {
        drained &= instance.drain().await;
    }
    drained
}
