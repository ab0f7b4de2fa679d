//! The cost of calls to plain services at their entry instance.

use std::{sync, time};

use crate::{cost_row, load_error, sample_site, usage_probe};

/// Sizes that are measured, in backend servers of the service.
const SIZES: [usize; 3] = [15, 60, 120];

/// Calls that are carried through at each size.
const CALLS: u32 = 50_000;

/// Engines of the sample site for each server of its service.
const ENGINES_PER_SERVER: usize = 100;

/// Measures an idempotent call from its arrival to its answer.
pub(crate) fn measure() -> Result<Vec<cost_row::CostRow>, load_error::LoadError> {
    SIZES.into_iter().map(measure_size).collect()
}

fn measure_size(size: usize) -> Result<cost_row::CostRow, load_error::LoadError> {
    let mut keeper = call::CallManager::new(ids::InstanceId(1), 1);
    let mut now = clock::Timestamp::from_millis(1_000);
    let state = sync::Arc::new(sample_site::state((size - 1) * ENGINES_PER_SERVER)?);
    let view = sync::Arc::new(sample_site::view(380, 1));
    keeper.handle(now, call::Input::View(view), &mut Vec::new());
    keeper.handle(now, call::Input::State(state), &mut Vec::new());
    let unit_us = usage_probe::unit_micros(CALLS, || {
        for number in 0..CALLS {
            now = now + time::Duration::from_millis(5);
            carry(&mut keeper, now, u128::from(number));
        }
    })?;
    Ok(cost_row::CostRow {
        part: "calls: one idempotent call from arrival to answer",
        size_of: "backend servers",
        size,
        unit: "call",
        unit_us,
        unit_bytes: None,
        held_kilobytes: None,
    })
}

fn carry(keeper: &mut call::CallManager, now: clock::Timestamp, number: u128) {
    let mut outputs = Vec::new();
    let spec = call::CallSpec::builder()
        .request(ids::RequestId(number))
        .workspace("workspace-00001")
        .class("lookup")
        .service("orders")
        .idempotent(true)
        .fingerprint(number)
        .priority(0_u8)
        .time_left(time::Duration::from_secs(1))
        .build();
    keeper.handle(now, call::Input::Arrived(spec), &mut outputs);
    let attempts: Vec<_> = outputs
        .iter()
        .filter_map(|output| match output {
            call::Output::Attempt {
                request, attempt, ..
            } => Some((*request, *attempt)),
            _ => None,
        })
        .collect();
    for (request, attempt) in attempts {
        let result = call::AttemptResult::Replied(200);
        let input = call::Input::AttemptEnded(request, attempt, result);
        keeper.handle(now + time::Duration::from_millis(2), input, &mut outputs);
    }
    std::hint::black_box(outputs);
}
