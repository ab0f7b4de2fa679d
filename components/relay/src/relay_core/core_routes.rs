//! Receivers of state updates, and the forwarding of those of other instances.

use std::{net, time};

use crate::{fleet_topology, instance_update, known_instance, relay_core, update_routes};

/// Time without a datagram from the forwarder after which the next instance of the data centre
/// takes over, multiplied by its position.
const FORWARDER_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Time after the start of a process during which it isn't preferred as a forwarder, since it
/// doesn't know the fleet yet.
const FORWARDER_WARMUP: time::Duration = time::Duration::from_secs(2);

/// Interval at which the topology is computed.
const TOPOLOGY_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Interval at which a forwarder and the other instances of a large fleet send their updates to the
/// seeds as well, so that parts of the fleet that have lost each other meet again.
const SEED_INTERVAL: time::Duration = time::Duration::from_secs(3);

/// Time for which an instance counts as discovering the fleet if no forwarder serves it.
const DISCOVERY_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// Number of instances of its own data centre that a discovering instance is told.
const TOLD_MEMBERS: usize = 8;

impl relay_core::RelayCore {
    /// Returns the receivers of the state updates that this instance sends now.
    pub fn update_routes(&mut self, now: clock::Timestamp) -> update_routes::UpdateRoutes {
        self.refresh_topology(now);
        if self.topology.is_direct() {
            return update_routes::UpdateRoutes {
                direct: self.instances.targets(now),
                ..update_routes::UpdateRoutes::default()
            };
        }
        let mut routes = if self.is_forwarder(now) {
            self.forwarder_routes()
        } else {
            self.member_routes(now)
        };
        if self.is_discovering(now) || self.is_seed_update_due(now) {
            routes.direct.extend(self.instances.seeds());
        }
        routes.direct.retain(|address| {
            !routes.members.contains(address) && !routes.forwarders.contains(address)
        });
        routes
    }

    /// Returns the receivers of a forwarder's updates.
    fn forwarder_routes(&self) -> update_routes::UpdateRoutes {
        let centre = self.data_centre_hash;
        update_routes::UpdateRoutes {
            members: self.other_members().collect(),
            forwarders: self.topology.forwarders_elsewhere(centre).collect(),
            ..update_routes::UpdateRoutes::default()
        }
    }

    /// Returns the receivers of the updates of an instance that doesn't forward: the forwarder, the
    /// next instance, and one more for each forwarder that may have failed since. Instances of an
    /// unknown data centre don't know of forwarders and receive the updates directly.
    fn member_routes(&self, now: clock::Timestamp) -> update_routes::UpdateRoutes {
        let failed = self.forwarder_silence(now).as_millis() / FORWARDER_TIMEOUT.as_millis();
        let receivers = fleet_topology::FORWARDERS_PER_CENTRE
            + usize::try_from(failed).unwrap_or(usize::MAX / 2);
        let direct = self.other_members().take(receivers);
        update_routes::UpdateRoutes {
            direct: direct.chain(self.topology.members(0)).collect(),
            ..update_routes::UpdateRoutes::default()
        }
    }

    /// Returns the other instances of the own data centre in the order in which they become
    /// forwarders.
    fn other_members(&self) -> impl Iterator<Item = net::Ipv4Addr> {
        let own = self.settings.address;
        let members = self.topology.members(self.data_centre_hash);
        members.filter(move |member| *member != own)
    }

    /// Returns whether this instance forwards the updates of others: it is the first of its data
    /// centre, or those before it have been silent.
    fn is_forwarder(&self, now: clock::Timestamp) -> bool {
        let position = self
            .topology
            .position(self.data_centre_hash, self.settings.address);
        let patience = FORWARDER_TIMEOUT * u32::try_from(position).unwrap_or(u32::MAX / 2);
        self.forwarder_silence(now) >= patience
    }

    /// Returns the time since the last datagram of a forwarder to this instance.
    fn forwarder_silence(&self, now: clock::Timestamp) -> time::Duration {
        now.since(self.forwarded_at)
    }

    /// Returns whether this instance looks for the fleet: no forwarder sends it updates, and it isn't
    /// one that has run for long enough to know the fleet.
    pub(super) fn is_discovering(&self, now: clock::Timestamp) -> bool {
        let is_served = self.has_been_forwarded && self.forwarder_silence(now) < DISCOVERY_TIMEOUT;
        let uptime = now.since(clock::Timestamp::default());
        let knows_fleet = self.is_forwarder(now) && uptime >= FORWARDER_WARMUP;
        !is_served && !knows_fleet
    }

    fn is_seed_update_due(&mut self, now: clock::Timestamp) -> bool {
        let is_due = now.since(self.seeds_updated_at) >= SEED_INTERVAL;
        if is_due {
            self.seeds_updated_at = now;
        }
        is_due
    }

    /// Applies a state update that its sender has sent to this instance itself. `forwards` is whether
    /// the sender forwards the updates of others to this instance.
    pub fn apply_direct_update(
        &mut self,
        now: clock::Timestamp,
        update: instance_update::InstanceUpdate,
        forwards: bool,
    ) -> update_routes::UpdateEffect {
        let sender = update.address;
        let discovers = update.discovering;
        let effect = self.apply_forwarded_update(now, update);
        if discovers {
            self.instances.record_newcomer(now, sender);
        }
        if forwards {
            self.record_forwarder(now, sender);
        }
        effect
    }

    /// Applies a state update that a forwarder has sent to this instance.
    pub fn apply_forwarded_update(
        &mut self,
        now: clock::Timestamp,
        update: instance_update::InstanceUpdate,
    ) -> update_routes::UpdateEffect {
        let sender = update.address;
        let sequence = Some((update.incarnation, update.sequence));
        let was_known = self.instances.last_sequence(sender) == sequence;
        let is_worthwhile = self.instances.is_worth_forwarding(now, &update);
        let is_behind = self.apply_update(now, update);
        let is_new = !was_known && self.instances.last_sequence(sender) == sequence;
        let is_own_centre = self.instances.data_centre(sender) == Some(self.data_centre_hash);
        let scope = if !is_new || !is_worthwhile {
            update_routes::ForwardScope::Nowhere
        } else if is_own_centre {
            update_routes::ForwardScope::Everywhere
        } else {
            update_routes::ForwardScope::Members
        };
        if scope != update_routes::ForwardScope::Nowhere {
            self.instances.record_forwarded(now, sender);
        }
        update_routes::UpdateEffect { is_behind, scope }
    }

    /// Records a datagram of a forwarder of the own data centre. One that comes after this instance
    /// in the order doesn't count while this instance forwards itself.
    fn record_forwarder(&mut self, now: clock::Timestamp, sender: net::Ipv4Addr) {
        self.refresh_topology(now);
        let centre = self.data_centre_hash;
        let own_position = self.topology.position(centre, self.settings.address);
        let position = self.topology.position(centre, sender);
        let is_own_centre = self.instances.data_centre(sender) == Some(centre);
        if is_own_centre && (position < own_position || !self.is_forwarder(now)) {
            self.forwarded_at = now;
            self.has_been_forwarded = true;
        }
    }

    /// Returns the updates to send now to instances that discover the fleet.
    pub fn due_greetings(&mut self, now: clock::Timestamp) -> Vec<update_routes::GreetingUpdate> {
        self.refresh_topology(now);
        if self.topology.is_direct() {
            return Vec::new();
        }
        let newcomers = self.instances.take_newcomers();
        newcomers
            .into_iter()
            .map(|newcomer| update_routes::GreetingUpdate {
                newcomer,
                update: self.greeting(newcomer),
            })
            .collect()
    }

    /// Returns whether an instance that discovers the fleet waits for a greeting.
    #[must_use]
    pub fn has_newcomers(&self) -> bool {
        !self.topology.is_direct() && self.instances.has_newcomers()
    }

    fn greeting(&mut self, newcomer: net::Ipv4Addr) -> instance_update::InstanceUpdate {
        self.update_sequence += 1;
        instance_update::InstanceUpdate::builder()
            .address(self.settings.address)
            .incarnation(self.settings.incarnation)
            .sequence(self.update_sequence)
            .partial(true)
            .known(self.told_instances(newcomer))
            .build()
    }

    /// Returns the first instances of a newcomer's data centre and the forwarders of the others.
    fn told_instances(&self, newcomer: net::Ipv4Addr) -> Vec<known_instance::KnownInstance> {
        let centre = self.instances.data_centre(newcomer).unwrap_or(0);
        let members = self.topology.members(centre).take(TOLD_MEMBERS);
        let told: Vec<net::Ipv4Addr> = members
            .chain(self.topology.forwarders_elsewhere(centre))
            .collect();
        let instances = self.topology.instances();
        instances
            .filter(|instance| told.contains(&instance.address))
            .copied()
            .collect()
    }

    /// Returns this instance as the others know it.
    pub(super) fn own_instance(&self, now: clock::Timestamp) -> known_instance::KnownInstance {
        let is_new = now.since(clock::Timestamp::default()) < FORWARDER_WARMUP;
        let is_preferred = !is_new && !self.is_draining();
        known_instance::KnownInstance {
            address: self.settings.address,
            data_centre: self.data_centre_hash,
            capacity: if is_preferred {
                self.settings.capacity
            } else {
                0
            },
        }
    }

    pub(super) fn refresh_topology(&mut self, now: clock::Timestamp) {
        let is_outdated = self
            .topology_at
            .is_none_or(|at| now.since(at) >= TOPOLOGY_INTERVAL);
        if !is_outdated {
            return;
        }
        self.topology_at = Some(now);
        self.instances.remove_silent(now);
        let own = self.own_instance(now);
        let others = self.instances.known(now);
        self.topology = fleet_topology::FleetTopology::new(others.chain([own]));
    }
}
