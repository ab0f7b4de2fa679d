//! What is known of one other instance.

use crate::instance_news;

/// What is known of one other instance: its last news, with the changes told since.
#[derive(Clone, Debug)]
pub(crate) struct InstanceState {
    /// What it told, as of `heard_at`.
    pub(crate) news: instance_news::InstanceNews,
    pub(crate) heard_at: clock::Moment,
}

impl InstanceState {
    /// Takes over the changes that partial news tell, when streams generate `pace` tokens a
    /// millisecond.
    pub(crate) fn take_changes(
        &mut self,
        now: clock::Moment,
        changes: instance_news::InstanceNews,
        pace: f64,
    ) {
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
        known.waiting = changes.waiting;
        if !changes.retries.is_empty() {
            known.retries = changes.retries;
        }
        known.sequence = changes.sequence;
        known.view_age = known.view_age.saturating_add(elapsed);
        known.last_order_age += elapsed;
        self.heard_at = now;
    }
}
