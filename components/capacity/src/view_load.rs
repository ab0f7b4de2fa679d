//! The cost of a change of the membership.

use std::sync;

use crate::{cost_row, load_error, note_load, sample_site, usage_probe};

/// Sizes that are measured, in instances.
const SIZES: [usize; 3] = [95, 190, 380];

/// Changes that are taken at each size.
const CHANGES: u32 = 50;

/// Engines of the site for each instance.
const ENGINES_PER_INSTANCE: usize = 32;

/// Measures what the machines do with a member that comes or goes.
pub(crate) fn measure() -> Result<Vec<cost_row::CostRow>, load_error::LoadError> {
    SIZES.into_iter().map(measure_size).collect()
}

fn measure_size(size: usize) -> Result<cost_row::CostRow, load_error::LoadError> {
    let state = sync::Arc::new(sample_site::state(size * ENGINES_PER_INSTANCE)?);
    let mut machines = note_load::Machines::new();
    machines.take_state(&state);
    machines.take_view(&sync::Arc::new(sample_site::view(size, 1)));
    let views: Vec<_> = (0..CHANGES)
        .map(|number| {
            let mut view = sample_site::view(size, u64::from(number) + 2);
            let gone = u64::from(number) % (size as u64 - 1) + 2;
            if let Some(member) = view.members.get_mut(&ids::InstanceId(gone)) {
                member.state = member::MemberState::Dead;
            }
            sync::Arc::new(view)
        })
        .collect();
    let unit_us = usage_probe::unit_micros(CHANGES, || {
        for view in &views {
            machines.take_view(view);
        }
    })?;
    Ok(cost_row::CostRow {
        part: "membership change: taken by placement, requests, calls, orders",
        size_of: "instances",
        size,
        unit: "change",
        unit_us,
        unit_bytes: None,
        held_kilobytes: None,
    })
}
