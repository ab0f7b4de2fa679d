//! State updates between instances.

use std::{net, time};

use crate::{instance_update, known_instance, relay_core, sent_state, service_estimate};

/// Largest number of other instances at which every full update lists all of them.
const SMALL_FLEET_INSTANCES: usize = 16;

/// Age at which the usage by other instances is recomputed, since their streams keep growing.
const MAX_USAGE_AGE: time::Duration = time::Duration::from_millis(50);

/// Time after the start of a process during which every full update lists all other instances, so
/// that the instances of a restarted fleet discover each other.
const DISCOVERY_TIME: time::Duration = time::Duration::from_secs(2);

/// Interval of full updates in a small fleet, which repair the loss of partial ones.
const FULL_UPDATE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Number of instances from which the interval of full updates grows in proportion.
const FULL_UPDATE_INSTANCES: f64 = 50.0;

/// Largest factor by which the interval of full updates grows.
const MAX_INTERVAL_FACTOR: f64 = 4.0;

/// Time since its last read of the platform's store for which an instance counts as a reader.
const READER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// One of this many full updates contains the sender's estimates.
const ESTIMATE_UPDATE_PERIOD: u64 = 6;

/// In a large fleet, one of this many full updates lists the other instances.
const MEMBERSHIP_UPDATE_PERIOD: u64 = 8;

impl relay_core::RelayCore {
    /// Applies a state update of another instance; returns whether the sender's view differs and is
    /// newer.
    ///
    /// A change of the platform's list in the update is applied if it leads to the sender's view.
    pub fn apply_update(
        &mut self,
        now: clock::Timestamp,
        mut update: instance_update::InstanceUpdate,
    ) -> bool {
        update
            .estimates
            .retain(|(_, estimate)| estimate.is_plausible());
        let delta = update.delta.take();
        let crashes = std::mem::take(&mut update.crashes);
        let limits = std::mem::take(&mut update.limits);
        let spending = std::mem::take(&mut update.spending);
        let source = self.report_source(now, &update);
        let is_return = self.is_return(now, &update);
        let knows_spending = update.knows_spending;
        self.apply_origins(now, &mut update);
        let search = std::mem::take(&mut update.search);
        if update.address != self.settings.address {
            self.apply_search_notice(now, &search);
        }
        let announcement = update.announcement();
        let decode_rate = self.decode_rate();
        let has_view = !update.partial && update.fingerprint != 0;
        if !self.instances.apply_update(now, update, decode_rate) {
            return false;
        }
        self.usage_stale = true;
        self.quarantine.apply_notice(now, &crashes);
        self.limits.apply_reports(now, source, &limits);
        self.spending_knowledge.record(now, knows_spending);
        self.apply_spending(now, source, is_return, &spending);
        if let Some(delta) = delta.filter(|_| has_view)
            && self.tracker.apply_delta(now, &delta, &announcement)
        {
            self.apply_view(now);
        }
        has_view && self.tracker.apply_announcement(now, &announcement)
    }

    /// Recomputes outdated usage by the other instances. Called before each decision that depends
    /// on it rather than after each state update, since updates are far more frequent than
    /// decisions.
    pub(super) fn refresh_stale_usage(&mut self, now: clock::Timestamp) {
        self.expire_kept_servers(now);
        self.refresh_estimates(now);
        if self.usage_stale || now.since(self.usage_refreshed_at) >= MAX_USAGE_AGE {
            self.refresh_usage(now);
        }
    }

    /// Recomputes the usage by the other instances, ignoring those that stopped sending updates.
    pub fn refresh_usage(&mut self, now: clock::Timestamp) {
        self.usage_stale = false;
        self.usage_refreshed_at = now;
        let usage = self.instances.usage(now, self.decode_rate());
        self.backends.set_peer_usage(&usage);
        self.backends.set_peer_paused(&self.instances.paused(now));
        self.backends
            .set_peer_unreachable(now, &self.instances.unreachable(now));
        self.backends
            .add_peer_draining(now, &self.instances.draining(now));
        self.refresh_limits(now);
        self.refresh_shares(now);
    }

    /// Replaces the addresses of instances from which the others are discovered.
    pub fn set_seeds(&mut self, seeds: Vec<net::Ipv4Addr>) {
        self.instances.set_seeds(seeds);
    }

    /// Returns the state update to send now: a partial one with the changes since the previous
    /// update where that suffices, otherwise a full one. Partial updates are smaller, so they reach
    /// a large fleet sooner over slow links.
    pub fn due_update(&mut self, now: clock::Timestamp) -> instance_update::InstanceUpdate {
        self.pauses.record_update(now);
        let crashes = self.quarantine.notice(now);
        let state = sent_state::FullState {
            fingerprint: self.tracker.fingerprint(),
            fence: self.last_order.map_or(0, |(_, fence)| fence),
            paused: self.backends.own_paused(now),
            draining: self.backends.reported_draining(),
            unreachable: self.reported_unreachable(now),
            out_of_reach: self.out_of_reach(now),
            crash_reports: crashes.reports,
            cleared_suspects: crashes.cleared,
            quarantined_suspects: crashes
                .quarantined
                .into_iter()
                .map(|(suspect, _)| suspect)
                .collect(),
        };
        let interval = self.full_update_interval(now);
        if self.sent_state.needs_full_update(now, interval, &state) || self.is_draining() {
            self.sent_state.record_full_update(now, state);
            return self.full_update(now);
        }
        self.update_sequence += 1;
        let usage = self.sent_state.record_usage(self.backends.own_usage());
        let retries = self.retry_counts(now);
        let has_retried = self.sent_state.record_retries(&retries);
        let limits = self.limits.reports(now);
        instance_update::InstanceUpdate::builder()
            .address(self.settings.address)
            .incarnation(self.settings.incarnation)
            .sequence(self.update_sequence)
            .partial(true)
            .discovering(self.is_discovering(now))
            .usage(usage)
            .waiting(self.queue_updates(now))
            .retries(if has_retried { retries } else { Vec::new() })
            .limits(self.sent_state.record_limits(limits))
            .spending(self.workspace_limits.take_changed(now))
            .knows_spending(self.knows_spending(now))
            .shares(self.shares.grown_reports(now))
            .origins(self.origins.take_new(now))
            .search(self.search_notice(now, false))
            .build()
    }

    /// Returns the interval of full updates. It grows with the fleet, but not for an instance that
    /// reads the platform's store, since the others take the age of their views from its updates.
    fn full_update_interval(&self, now: clock::Timestamp) -> time::Duration {
        let is_reader = self.tracker.read_age(now) < READER_TIMEOUT;
        let instances = if is_reader { 0 } else { self.topology.len() };
        let factor = instances as f64 / FULL_UPDATE_INSTANCES;
        FULL_UPDATE_INTERVAL.mul_f64(factor.clamp(1.0, MAX_INTERVAL_FACTOR))
    }

    /// Returns a full state update of this instance.
    pub fn full_update(&mut self, now: clock::Timestamp) -> instance_update::InstanceUpdate {
        self.update_sequence += 1;
        self.full_updates += 1;
        let age = self.tracker.age(now);
        let window = self.settings.retry_bound.window;
        let own = self.own_instance(now);
        let usage = self.backends.own_usage();
        let retries = self.retry_counts(now);
        self.sent_state.record_usage(usage.clone());
        self.sent_state.record_retries(&retries);
        let limits = self.limits.reports(now);
        self.sent_state.record_limits(limits.clone());
        self.adopt_origins(now);
        self.prompts.remove_old(now);
        instance_update::InstanceUpdate::builder()
            .address(self.settings.address)
            .incarnation(self.settings.incarnation)
            .sequence(self.update_sequence)
            .leaving(self.is_draining())
            .position(self.tracker.view().position)
            .config_version(self.tracker.view().config_version())
            .fingerprint(if age.is_some() {
                self.tracker.fingerprint()
            } else {
                0
            })
            .maybe_delta(self.tracker.recent_delta(now).cloned())
            .view_age(self.tracker.read_age(now))
            .usage(usage)
            .waiting(self.queue_updates(now))
            .retries(retries)
            .count_window(now.since(clock::Timestamp::default()).min(window))
            .paused(self.backends.own_paused(now))
            .draining(self.backends.reported_draining())
            .unreachable(self.reported_unreachable(now))
            .out_of_reach(self.out_of_reach(now))
            .crashes(self.quarantine.notice(now))
            .limits(limits)
            .spending(self.workspace_limits.full_reports(now))
            .knows_spending(self.knows_spending(now))
            .shares(self.shares.full_reports(now))
            .orders_by_share(self.orders_by_share())
            .tells_prompts(true)
            .marks_after_start(true)
            .origins(self.origins.take_due(now))
            .search(self.search_notice(now, true))
            .last_fence(self.last_order.map_or(0, |(_, fence)| fence))
            .last_order_age(
                self.last_order
                    .map_or(time::Duration::ZERO, |(at, _)| now.since(at)),
            )
            .estimates(self.due_estimates())
            .data_centre(own.data_centre)
            .capacity(own.capacity)
            .discovering(self.is_discovering(now))
            .known(self.reported_instances(now))
            .build()
    }

    /// Returns the estimates for a full update: in one of [`ESTIMATE_UPDATE_PERIOD`] updates,
    /// otherwise none.
    fn due_estimates(&self) -> Vec<(u64, service_estimate::ServiceEstimate)> {
        if self.full_updates % ESTIMATE_UPDATE_PERIOD == 1 {
            self.own_estimates()
        } else {
            Vec::new()
        }
    }

    fn retry_counts(&mut self, now: clock::Timestamp) -> Vec<(u64, retry::RetryCount)> {
        let bound = self.settings.retry_bound;
        self.windows
            .iter_mut()
            .map(|(service, window)| {
                let count = window.count(now, &bound);
                (instance_update::service_hash(service), count)
            })
            .collect()
    }

    /// Returns other instances for a full update: all alive ones in a small fleet, shortly after the
    /// start, and in one of [`MEMBERSHIP_UPDATE_PERIOD`] updates of a larger one, otherwise none. A
    /// fleet with forwarders greets newcomers instead.
    fn reported_instances(&self, now: clock::Timestamp) -> Vec<known_instance::KnownInstance> {
        if !self.topology.is_direct() {
            return Vec::new();
        }
        let alive: Vec<known_instance::KnownInstance> = self.instances.alive_known(now).collect();
        let is_new = now.since(clock::Timestamp::default()) < DISCOVERY_TIME;
        if is_new
            || alive.len() <= SMALL_FLEET_INSTANCES
            || self.full_updates % MEMBERSHIP_UPDATE_PERIOD == 1
        {
            alive
        } else {
            Vec::new()
        }
    }
}
