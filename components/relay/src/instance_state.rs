//! State of one other instance.

use std::{collections, sync};

use crate::{
    decayed_count, instance_update, known_instance, share_report, wait_queue, workspace_key,
};

/// Services by [`crate::service_hash`].
pub(crate) type ServiceNames = collections::BTreeMap<u64, ids::ServiceName>;

/// State of one other instance: its last full update, with the later partial updates applied.
#[derive(Clone, Debug)]
pub(crate) struct InstanceState {
    /// Merged state updates, as of `received_at`.
    pub(crate) update: instance_update::InstanceUpdate,
    pub(crate) received_at: clock::Timestamp,
    /// Time of the first update of the process.
    pub(crate) known_since: clock::Timestamp,
    /// Time at which this instance last forwarded an update of the instance.
    pub(crate) forwarded_at: clock::Timestamp,
    /// Requests that wait at the instance.
    pub(crate) waiting: Vec<sync::Arc<wait_queue::WaitingRequest>>,
    /// Usage of services, by their hash, by workspaces at the instance.
    pub(crate) shares:
        collections::BTreeMap<(u64, workspace_key::WorkspaceKey), decayed_count::DecayedCount>,
}

impl InstanceState {
    /// Creates the state from a full update.
    pub(crate) fn new(
        now: clock::Timestamp,
        update: instance_update::InstanceUpdate,
        services: &ServiceNames,
    ) -> Self {
        Self {
            waiting: waiting_requests(now, &update, services),
            shares: share_counts(now, &update.shares).collect(),
            received_at: now,
            known_since: now,
            forwarded_at: now,
            update,
        }
    }

    /// Returns the instance by which the others choose forwarders. A draining one is chosen last.
    pub(crate) fn known_instance(&self) -> known_instance::KnownInstance {
        known_instance::KnownInstance {
            address: self.update.address,
            data_centre: self.update.data_centre,
            capacity: if self.update.leaving {
                0
            } else {
                self.update.capacity
            },
        }
    }

    /// Keeps from the state `before` what the new update omits.
    pub(crate) fn keep_omitted(&mut self, before: Self) {
        if self.update.incarnation == before.update.incarnation {
            self.known_since = before.known_since;
        }
        if self.update.estimates.is_empty() {
            self.update.estimates = before.update.estimates;
        }
    }

    /// Applies a partial update.
    ///
    /// Streams that the update doesn't list are assumed to have generated `decode_rate` tokens per
    /// millisecond since the last update.
    pub(crate) fn apply_changes(
        &mut self,
        now: clock::Timestamp,
        changes: instance_update::InstanceUpdate,
        decode_rate: f64,
        services: &ServiceNames,
    ) {
        self.waiting = waiting_requests(now, &changes, services);
        self.shares.extend(share_counts(now, &changes.shares));
        let elapsed = now.since(self.received_at);
        let generated = (elapsed.as_secs_f64() * 1_000.0 * decode_rate) as u32;
        let merged = &mut self.update;
        for (_, usage) in &mut merged.usage {
            for stream in &mut usage.streams {
                *stream = stream.after(generated);
            }
        }
        merged
            .usage
            .retain(|(server, _)| changes.usage.iter().all(|(changed, _)| changed != server));
        let changed_usage = changes.usage.into_iter();
        merged
            .usage
            .extend(changed_usage.filter(|(_, usage)| !usage.is_idle()));
        if !changes.retries.is_empty() {
            merged.retries = changes.retries;
        }
        merged.sequence = changes.sequence;
        merged.view_age = merged.view_age.saturating_add(elapsed);
        merged.last_order_age += elapsed;
        self.received_at = now;
    }
}

/// Returns the counts of an update.
fn share_counts(
    now: clock::Timestamp,
    reports: &[share_report::ShareReport],
) -> impl Iterator<
    Item = (
        (u64, workspace_key::WorkspaceKey),
        decayed_count::DecayedCount,
    ),
> {
    reports.iter().map(move |report| {
        let count = decayed_count::DecayedCount::new(now, f64::from(report.tokens));
        ((report.service, report.workspace), count)
    })
}

/// Returns the waiting requests of an update whose services are known.
fn waiting_requests(
    now: clock::Timestamp,
    update: &instance_update::InstanceUpdate,
    services: &ServiceNames,
) -> Vec<sync::Arc<wait_queue::WaitingRequest>> {
    let queue_updates = update.waiting.iter();
    queue_updates
        .filter_map(|waiting| {
            let service = services.get(&waiting.service)?;
            Some(sync::Arc::new(waiting.to_waiting_request(now, service)))
        })
        .collect()
}
