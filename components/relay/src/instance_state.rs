//! What is known of one other instance.

use std::{collections, sync};

use crate::{instance_news, wait_line};

/// Services by [`crate::service_hash`].
pub(crate) type ServiceNames = collections::BTreeMap<u64, ids::ServiceName>;

/// What is known of one other instance: its last news, with the changes told since.
#[derive(Clone, Debug)]
pub(crate) struct InstanceState {
    /// What it told, as of `heard_at`.
    pub(crate) news: instance_news::InstanceUpdate,
    pub(crate) heard_at: clock::Timestamp,
    /// Requests that wait there.
    pub(crate) waiting: Vec<sync::Arc<wait_line::WaitingAsk>>,
}

impl InstanceState {
    /// Takes in news that tell all.
    pub(crate) fn new(
        now: clock::Timestamp,
        news: instance_news::InstanceUpdate,
        services: &ServiceNames,
    ) -> Self {
        Self {
            waiting: waiting_requests(now, &news, services),
            heard_at: now,
            news,
        }
    }

    /// Takes over the changes that partial news tell, when streams generate `pace` tokens a
    /// millisecond.
    pub(crate) fn take_changes(
        &mut self,
        now: clock::Timestamp,
        changes: instance_news::InstanceUpdate,
        pace: f64,
        services: &ServiceNames,
    ) {
        self.waiting = waiting_requests(now, &changes, services);
        let elapsed = now.since(self.heard_at);
        let generated = (elapsed.as_secs_f64() * 1_000.0 * pace) as u32;
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
        self.heard_at = now;
    }
}

/// Returns the requests that news tell to be waiting, for services that are known.
fn waiting_requests(
    now: clock::Timestamp,
    news: &instance_news::InstanceUpdate,
    services: &ServiceNames,
) -> Vec<sync::Arc<wait_line::WaitingAsk>> {
    let told = news.waiting.iter();
    told.filter_map(|waiting| {
        let service = services.get(&waiting.service)?;
        Some(sync::Arc::new(waiting.waiting(now, service)))
    })
    .collect()
}
