//! What the core knows of the platform and of the other instances.

use std::{collections, net, time};

use crate::{instance_news, relay_core, site_view, view_change};

/// Instances up to which all news name all others.
const SMALL_FLEET: usize = 16;

/// Age from which on what the others use is worked out anew: their streams go on.
const USAGE_AGE: time::Duration = time::Duration::from_millis(50);

/// Time after the start of a process in which all its news name all others, so that a fleet that was
/// started anew finds together.
const MEETING_TIME: time::Duration = time::Duration::from_secs(2);

/// News of a large fleet of which one names the other instances.
const TELLING_INTERVAL: u64 = 8;

impl relay_core::RelayCore {
    /// Returns when the platform's store is to be read next.
    #[must_use]
    pub fn next_read(&self, now: clock::Timestamp) -> clock::Timestamp {
        self.tracker.read_at(self.instances.rank(now))
    }

    /// Returns whether another instance has a newer view.
    #[must_use]
    pub const fn is_behind(&self) -> bool {
        self.tracker.is_behind()
    }

    /// Takes in a read of the store that was sent at `asked`; returns whether the view changed.
    pub fn apply_store_read(
        &mut self,
        now: clock::Timestamp,
        asked: clock::Timestamp,
        update: view_change::ViewUpdate,
    ) -> bool {
        let changed = self.tracker.read(now, asked, update);
        self.take_view();
        changed
    }

    /// Takes in that a read of the store failed.
    pub fn record_read_failure(&mut self, now: clock::Timestamp) {
        self.tracker.record_read_failure(now);
        self.tracker.expire(now);
    }

    /// Takes in the view of another instance; returns whether the view changed.
    pub fn apply_peer_view(
        &mut self,
        now: clock::Timestamp,
        view: site_view::SiteView,
        age: time::Duration,
    ) -> bool {
        let changed = self.tracker.copied(now, view, age);
        self.take_view();
        changed
    }

    /// Takes in news of another instance; returns whether its view is newer and differs.
    ///
    /// A change of the list that the news hold is taken over.
    pub fn apply_update(
        &mut self,
        now: clock::Timestamp,
        mut news: instance_news::InstanceUpdate,
    ) -> bool {
        let delta = news.delta.take();
        let (revision, fingerprint, age) = (news.revision, news.fingerprint, news.view_age);
        let tells_view = !news.partial && news.fingerprint != 0;
        if !self.instances.apply_update(now, news, self.pace) {
            return false;
        }
        self.usage_is_old = true;
        if let Some(delta) = delta.filter(|_| tells_view)
            && self.tracker.take_delta(&delta, fingerprint)
        {
            self.take_view();
        }
        tells_view && self.tracker.apply_update(now, revision, fingerprint, age)
    }

    /// Takes over what the other instances use, before a decision that depends on it: news come far
    /// more often than decisions.
    pub(super) fn fresh_usage(&mut self, now: clock::Timestamp) {
        if self.usage_is_old || now.since(self.usage_as_of) >= USAGE_AGE {
            self.refresh_usage(now);
        }
    }

    /// Takes over what the other instances use now, without those that are silent.
    pub fn refresh_usage(&mut self, now: clock::Timestamp) {
        self.usage_is_old = false;
        self.usage_as_of = now;
        let usage = self.instances.usage(now, self.pace);
        self.book.take_usage(&usage);
        self.book.take_paused(&self.instances.paused(now));
    }

    /// Replaces the addresses of instances that may be known to others.
    pub fn set_seeds(&mut self, seeds: Vec<net::Ipv4Addr>) {
        self.instances.set_seeds(seeds);
    }

    /// Returns what is to be told now: the changes since the last news where they suffice, which
    /// reach a large fleet sooner over small links, else all.
    pub fn due_update(&mut self, now: clock::Timestamp) -> instance_news::InstanceUpdate {
        let view = self.tracker.fingerprint();
        let fence = self.last_order.map_or(0, |(_, fence)| fence);
        let paused = self.book.own_paused(now);
        if self.told.needs_all(now, view, fence, &paused) || self.leaving {
            self.told.note_all(now, view, fence, paused);
            return self.news(now);
        }
        self.news_sequence += 1;
        let usage = self.told.usage_changes(self.book.own_usage());
        let retries = self.retry_counts(now);
        let has_repeated = self.told.repeats_changed(&retries);
        instance_news::InstanceUpdate::builder()
            .address(self.settings.address)
            .incarnation(self.settings.incarnation)
            .sequence(self.news_sequence)
            .partial(true)
            .usage(usage)
            .waiting(self.waiting_news(now))
            .retries(if has_repeated { retries } else { Vec::new() })
            .build()
    }

    /// Returns all news of this instance.
    pub fn news(&mut self, now: clock::Timestamp) -> instance_news::InstanceUpdate {
        self.news_sequence += 1;
        self.full_news += 1;
        let age = self.tracker.age(now);
        let window = self.settings.retry_bound.window;
        let usage = self.book.own_usage();
        let retries = self.retry_counts(now);
        self.told.usage_changes(usage.clone());
        self.told.repeats_changed(&retries);
        instance_news::InstanceUpdate::builder()
            .address(self.settings.address)
            .incarnation(self.settings.incarnation)
            .sequence(self.news_sequence)
            .leaving(self.leaving)
            .revision(self.tracker.view().revision)
            .fingerprint(if age.is_some() {
                self.tracker.fingerprint()
            } else {
                0
            })
            .maybe_delta(self.tracker.recent_delta(now).cloned())
            .view_age(self.tracker.read_age(now))
            .usage(usage)
            .waiting(self.waiting_news(now))
            .retries(retries)
            .count_window(now.since(clock::Timestamp::default()).min(window))
            .paused(self.book.own_paused(now))
            .last_fence(self.last_order.map_or(0, |(_, fence)| fence))
            .last_order_age(
                self.last_order
                    .map_or(time::Duration::ZERO, |(at, _)| now.since(at)),
            )
            .known(self.told_instances(now))
            .build()
    }

    fn retry_counts(&mut self, now: clock::Timestamp) -> Vec<(u64, retry::RetryCount)> {
        let bound = self.settings.retry_bound;
        self.windows
            .iter_mut()
            .map(|(service, window)| {
                let count = window.count(now, &bound);
                (instance_news::service_hash(service), count)
            })
            .collect()
    }

    /// Returns the addresses of other instances that this one tells: all in a small fleet and while
    /// the process is young, all in one of several news in a large one.
    fn told_instances(&self, now: clock::Timestamp) -> Vec<net::Ipv4Addr> {
        let alive: Vec<net::Ipv4Addr> = self.instances.alive(now).collect();
        let is_young = now.since(clock::Timestamp::default()) < MEETING_TIME;
        if is_young || alive.len() <= SMALL_FLEET || self.full_news % TELLING_INTERVAL == 1 {
            alive
        } else {
            Vec::new()
        }
    }

    /// Returns where news are sent to.
    #[must_use]
    pub fn update_targets(&self, now: clock::Timestamp) -> collections::BTreeSet<net::Ipv4Addr> {
        self.instances.targets(now)
    }

    fn take_view(&mut self) {
        self.book.take_view(&self.tracker.view().backends);
        let config = self.tracker.view().config.as_ref();
        let services = config.iter().flat_map(|config| &config.services);
        let generating = services.filter(|(_, rule)| rule.engine.is_some());
        self.instances
            .set_services(generating.map(|(service, _)| service.clone()));
    }
}
