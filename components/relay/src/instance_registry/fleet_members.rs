//! The other instances as receivers and forwarders of state updates.

use std::{collections, net};

use crate::{instance_registry, instance_state, instance_update, known_instance};

use super::{
    ALIVE_TIMEOUT, GREETING_INTERVAL, HEARTBEAT_FORWARD_INTERVAL, REPORTED_TIMEOUT, TARGET_TIMEOUT,
};

impl instance_registry::InstanceRegistry {
    /// Returns the addresses to which state updates are sent.
    #[must_use]
    pub fn targets(&self, now: clock::Timestamp) -> collections::BTreeSet<net::Ipv4Addr> {
        let direct = self
            .states
            .iter()
            .filter(|(_, state)| now.since(state.received_at) < TARGET_TIMEOUT)
            .map(|(address, _)| *address);
        let reported = self
            .reported
            .iter()
            .filter(|(_, reported)| now.since(reported.reported_at) < TARGET_TIMEOUT)
            .map(|(address, _)| *address);
        let mut targets: collections::BTreeSet<net::Ipv4Addr> = direct
            .chain(reported)
            .chain(self.seeds.iter().copied())
            .collect();
        targets.remove(&self.own);
        targets
    }

    /// Returns the addresses of the seeds, without this instance.
    pub fn seeds(&self) -> impl Iterator<Item = net::Ipv4Addr> {
        let own = self.own;
        self.seeds.iter().copied().filter(move |seed| *seed != own)
    }

    /// Returns the instances that are alive, also draining ones, and those that have been reported
    /// without being heard of since.
    pub fn known(
        &self,
        now: clock::Timestamp,
    ) -> impl Iterator<Item = known_instance::KnownInstance> {
        let alive = self
            .states
            .values()
            .filter(move |state| now.since(state.received_at) < ALIVE_TIMEOUT)
            .map(instance_state::InstanceState::known_instance);
        let reported = self
            .reported
            .values()
            .filter(move |reported| now.since(reported.reported_at) < REPORTED_TIMEOUT)
            .map(|reported| reported.instance)
            .filter(move |instance| !self.is_alive(now, instance.address));
        alive.chain(reported)
    }

    /// Returns the instances that are alive and not draining, without this one, with their data
    /// centres.
    pub fn alive_known(
        &self,
        now: clock::Timestamp,
    ) -> impl Iterator<Item = known_instance::KnownInstance> {
        self.states
            .values()
            .filter(move |state| {
                !state.update.leaving && now.since(state.received_at) < ALIVE_TIMEOUT
            })
            .map(instance_state::InstanceState::known_instance)
    }

    /// Returns whether an instance has sent an update recently.
    pub(crate) fn is_alive(&self, now: clock::Timestamp, address: net::Ipv4Addr) -> bool {
        self.states
            .get(&address)
            .is_some_and(|state| now.since(state.received_at) < ALIVE_TIMEOUT)
    }

    /// Returns whether an instance is alive whose process started before a time in milliseconds since
    /// the Unix epoch.
    pub(crate) fn has_started_before(&self, now: clock::Timestamp, millis: u64) -> bool {
        self.states.values().any(|state| {
            state.update.incarnation < millis && now.since(state.received_at) < ALIVE_TIMEOUT
        })
    }

    /// Returns the data centre of an instance, by [`crate::data_centre_hash`]; `None` if the
    /// instance is unknown.
    #[must_use]
    pub fn data_centre(&self, address: net::Ipv4Addr) -> Option<u32> {
        self.states
            .get(&address)
            .map(|state| state.update.data_centre)
    }

    /// Returns the incarnation and the sequence number of the last update of an instance.
    #[must_use]
    pub fn last_sequence(&self, address: net::Ipv4Addr) -> Option<(u64, u64)> {
        self.states
            .get(&address)
            .map(|state| (state.update.incarnation, state.update.sequence))
    }

    /// Returns whether an update that is to be applied changes what is known of its instance, or
    /// the instance's last forwarded update is so old that the others would miss it.
    #[must_use]
    pub fn is_worth_forwarding(
        &self,
        now: clock::Timestamp,
        update: &instance_update::InstanceUpdate,
    ) -> bool {
        self.states.get(&update.address).is_none_or(|state| {
            !update.is_heartbeat()
                || !state.waiting.is_empty()
                || now.since(state.forwarded_at) >= HEARTBEAT_FORWARD_INTERVAL
        })
    }

    /// Records that an update of an instance is forwarded.
    pub fn record_forwarded(&mut self, now: clock::Timestamp, address: net::Ipv4Addr) {
        if let Some(state) = self.states.get_mut(&address) {
            state.forwarded_at = now;
        }
    }

    /// Records that an instance discovers the fleet.
    pub fn record_newcomer(&mut self, now: clock::Timestamp, address: net::Ipv4Addr) {
        let next_greeting = self.newcomers.get(&address).copied();
        if next_greeting.is_none_or(|at| now >= at) {
            self.newcomers
                .retain(|_, at| now.since(*at) < GREETING_INTERVAL);
            self.newcomers.insert(address, now + GREETING_INTERVAL);
            self.ungreeted.insert(address);
        }
    }

    /// Returns whether instances wait for a greeting.
    #[must_use]
    pub fn has_newcomers(&self) -> bool {
        !self.ungreeted.is_empty()
    }

    /// Returns and removes the instances to greet now.
    pub fn take_newcomers(&mut self) -> collections::BTreeSet<net::Ipv4Addr> {
        std::mem::take(&mut self.ungreeted)
    }
}
