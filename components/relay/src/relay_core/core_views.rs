//! What the core knows of the platform and of the other instances.

use std::{collections, net, time};

use crate::{instance_update, relay_core, site_view, view_change};

/// Instances up to which all news name all others.
const SMALL_FLEET_INSTANCES: usize = 16;

/// Age from which on what the others use is worked out anew: their streams go on.
const USAGE_AGE: time::Duration = time::Duration::from_millis(50);

/// Time after the start of a process in which all its news name all others, so that a fleet that was
/// started anew finds together.
const DISCOVERY_TIME: time::Duration = time::Duration::from_secs(2);

/// News of a large fleet of which one names the other instances.
const TELLING_INTERVAL: u64 = 8;

impl relay_core::RelayCore {
    /// Returns when the platform's store is to be read next.
    #[must_use]
    pub fn next_read(&self, now: clock::Moment) -> clock::Moment {
        self.keeper.read_at(self.instances.rank(now))
    }

    /// Returns whether another instance has a newer view.
    #[must_use]
    pub const fn is_behind(&self) -> bool {
        self.keeper.is_behind()
    }

    /// Takes in a read of the store that was sent at `sent_at`; returns whether the view changed.
    pub fn view_read(
        &mut self,
        now: clock::Moment,
        sent_at: clock::Moment,
        update: view_change::ViewUpdate,
    ) -> bool {
        let changed = self.keeper.apply_read(now, sent_at, update);
        self.apply_view();
        changed
    }

    /// Takes in that a read of the store failed.
    pub fn read_failed(&mut self, now: clock::Moment) {
        self.keeper.read_failed(now);
        self.keeper.expire(now);
    }

    /// Takes in the view of another instance; returns whether the view changed.
    pub fn view_copied(
        &mut self,
        now: clock::Moment,
        view: site_view::SiteView,
        age: time::Duration,
    ) -> bool {
        let changed = self.keeper.apply_copy(now, view, age);
        self.apply_view();
        changed
    }

    /// Takes in news of another instance; returns whether its view is newer and differs.
    ///
    /// A change of the list that the news hold is taken over.
    pub fn heard(&mut self, now: clock::Moment, mut news: instance_update::InstanceNews) -> bool {
        let delta = news.delta.take();
        let (revision, fingerprint, age) = (news.revision, news.fingerprint, news.view_age);
        let tells_view = !news.partial && news.fingerprint != 0;
        if !self.instances.heard(now, news, self.decode_rate) {
            return false;
        }
        self.usage_stale = true;
        if let Some(delta) = delta.filter(|_| tells_view)
            && self.keeper.apply_delta(&delta, fingerprint)
        {
            self.apply_view();
        }
        tells_view
            && self
                .keeper
                .apply_announcement(now, revision, fingerprint, age)
    }

    /// Takes over what the other instances use, before a decision that depends on it: news come far
    /// more often than decisions.
    pub(super) fn refresh_stale_usage(&mut self, now: clock::Moment) {
        if self.usage_stale || now.since(self.usage_refreshed_at) >= USAGE_AGE {
            self.refresh_usage(now);
        }
    }

    /// Takes over what the other instances use now, without those that are silent.
    pub fn refresh_usage(&mut self, now: clock::Moment) {
        self.usage_stale = false;
        self.usage_refreshed_at = now;
        let usage = self.instances.usage(now, self.decode_rate);
        self.book.set_peer_usage(&usage);
        self.book.set_peer_paused(&self.instances.paused(now));
    }

    /// Replaces the addresses of instances that may be known to others.
    pub fn set_seeds(&mut self, seeds: Vec<net::Ipv4Addr>) {
        self.instances.set_seeds(seeds);
    }

    /// Returns what is to be told now: the changes since the last news where they suffice, which
    /// reach a large fleet sooner over small links, else all.
    pub fn due_news(&mut self, now: clock::Moment) -> instance_update::InstanceNews {
        let view = self.keeper.fingerprint();
        let fence = self.last_order.map_or(0, |(_, fence)| fence);
        let paused = self.book.own_paused(now);
        if self.sent.needs_full_update(now, view, fence, &paused) || self.leaving {
            self.sent.record_full_update(now, view, fence, paused);
            return self.news(now);
        }
        self.update_sequence += 1;
        let usage = self.sent.usage_changes(self.book.own_usage());
        let retries = self.retry_counts(now);
        let has_repeated = self.sent.retries_changed(&retries);
        instance_update::InstanceNews::builder()
            .address(self.settings.address)
            .incarnation(self.settings.incarnation)
            .sequence(self.update_sequence)
            .partial(true)
            .usage(usage)
            .waiting(self.queue_updates(now))
            .retries(if has_repeated { retries } else { Vec::new() })
            .build()
    }

    /// Returns all news of this instance.
    pub fn news(&mut self, now: clock::Moment) -> instance_update::InstanceNews {
        self.update_sequence += 1;
        self.full_updates += 1;
        let age = self.keeper.age(now);
        let window = self.settings.retry_bound.window;
        let usage = self.book.own_usage();
        let retries = self.retry_counts(now);
        self.sent.usage_changes(usage.clone());
        self.sent.retries_changed(&retries);
        instance_update::InstanceNews::builder()
            .address(self.settings.address)
            .incarnation(self.settings.incarnation)
            .sequence(self.update_sequence)
            .leaving(self.leaving)
            .revision(self.keeper.view().revision)
            .fingerprint(if age.is_some() {
                self.keeper.fingerprint()
            } else {
                0
            })
            .maybe_delta(self.keeper.recent_delta(now).cloned())
            .view_age(self.keeper.read_age(now))
            .usage(usage)
            .waiting(self.queue_updates(now))
            .retries(retries)
            .counted_for(now.since(clock::Moment::default()).min(window))
            .paused(self.book.own_paused(now))
            .last_fence(self.last_order.map_or(0, |(_, fence)| fence))
            .last_order_age(
                self.last_order
                    .map_or(time::Duration::ZERO, |(at, _)| now.since(at)),
            )
            .known(self.listed_instances(now))
            .build()
    }

    fn retry_counts(&mut self, now: clock::Moment) -> Vec<(u64, retry::RetryCount)> {
        let bound = self.settings.retry_bound;
        self.windows
            .iter_mut()
            .map(|(service, window)| {
                let count = window.count(now, &bound);
                (instance_update::service_hash(service), count)
            })
            .collect()
    }

    /// Returns the addresses of other instances that this one tells: all in a small fleet and while
    /// the process is young, all in one of several news in a large one.
    fn listed_instances(&self, now: clock::Moment) -> Vec<net::Ipv4Addr> {
        let alive: Vec<net::Ipv4Addr> = self.instances.alive(now).collect();
        let is_young = now.since(clock::Moment::default()) < DISCOVERY_TIME;
        if is_young
            || alive.len() <= SMALL_FLEET_INSTANCES
            || self.full_updates % TELLING_INTERVAL == 1
        {
            alive
        } else {
            Vec::new()
        }
    }

    /// Returns where news are sent to.
    #[must_use]
    pub fn news_targets(&self, now: clock::Moment) -> collections::BTreeSet<net::Ipv4Addr> {
        self.instances.targets(now)
    }

    fn apply_view(&mut self) {
        self.book.apply_view(&self.keeper.view().backends);
        let config = self.keeper.view().config.as_ref();
        let services = config.iter().flat_map(|config| &config.services);
        let generating = services.filter(|(_, rule)| rule.engine.is_some());
        self.instances
            .set_services(generating.map(|(service, _)| service.clone()));
    }
}
