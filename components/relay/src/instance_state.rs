//! What is known of one other instance.

use std::{collections, sync};

use crate::{instance_update, wait_queue};

/// Services by [`crate::service_hash`].
pub(crate) type ServiceNames = collections::BTreeMap<u64, ids::ServiceName>;

/// What is known of one other instance: its last news, with the changes told since.
#[derive(Clone, Debug)]
pub(crate) struct InstanceState {
    /// What it told, as of `received_at`.
    pub(crate) news: instance_update::InstanceNews,
    pub(crate) received_at: clock::Moment,
    /// Requests that wait there.
    pub(crate) waiting: Vec<sync::Arc<wait_queue::WaitingRequest>>,
}

impl InstanceState {
    /// Takes in news that tell all.
    pub(crate) fn new(
        now: clock::Moment,
        news: instance_update::InstanceNews,
        services: &ServiceNames,
    ) -> Self {
        Self {
            waiting: waiting_requests(now, &news, services),
            received_at: now,
            news,
        }
    }

    /// Takes over the changes that partial news tell, when streams generate `decode_rate` tokens a
    /// millisecond.
    pub(crate) fn apply_changes(
        &mut self,
        now: clock::Moment,
        changes: instance_update::InstanceNews,
        decode_rate: f64,
        services: &ServiceNames,
    ) {
        self.waiting = waiting_requests(now, &changes, services);
        let elapsed = now.since(self.received_at);
        let generated = (elapsed.as_secs_f64() * 1_000.0 * decode_rate) as u32;
        let known = &mut self.news;
        for (_, usage) in &mut known.usage {
            for stream in &mut usage.streams {
                *stream = stream.after(generated);
            }
        }
        known
            .usage
            .retain(|(server, _)| changes.usage.iter().all(|(changed, _)| changed != server));
        let used = changes.usage.into_iter();
        known
            .usage
            .extend(used.filter(|(_, usage)| !usage.is_idle()));
        if !changes.retries.is_empty() {
            known.retries = changes.retries;
        }
        known.sequence = changes.sequence;
        known.view_age = known.view_age.saturating_add(elapsed);
        known.last_order_age += elapsed;
        self.received_at = now;
    }
}

/// Returns the requests that news tell to be waiting, for services that are known.
fn waiting_requests(
    now: clock::Moment,
    news: &instance_update::InstanceNews,
    services: &ServiceNames,
) -> Vec<sync::Arc<wait_queue::WaitingRequest>> {
    let sent = news.waiting.iter();
    sent.filter_map(|waiting| {
        let service = services.get(&waiting.service)?;
        Some(sync::Arc::new(waiting.waiting(now, service)))
    })
    .collect()
}
