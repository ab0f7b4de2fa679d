//! Simulated exchange of state updates between the cores of a fleet, with forwarding.

use std::{collections, net};

use super::at;

/// Time step of the simulation in milliseconds.
const STEP_MILLIS: u64 = 2;

/// Interval between the datagrams of an instance, and of a forwarder, in milliseconds.
const UPDATE_INTERVAL: u64 = 250;
const FORWARDER_INTERVAL: u64 = 50;

/// Time for which a forwarder collects updates, in milliseconds.
const FORWARDER_WINDOW: u64 = 12;

/// Delay of a datagram in milliseconds.
const DELAY_MILLIS: u64 = 2;

/// Datagram in transit.
struct Datagram {
    arrives_at: u64,
    to: net::Ipv4Addr,
    update: relay::InstanceUpdate,
    forwarding: bool,
    forwarded: Vec<relay::InstanceUpdate>,
}

/// Counts of the datagrams of an instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct DatagramCount {
    pub sent: u32,
    pub received: u32,
    /// Received datagrams of other data centres.
    pub from_elsewhere: u32,
}

/// Instance of the simulated fleet.
pub struct NetworkMember {
    pub core: relay::RelayCore,
    pub count: DatagramCount,
    address: net::Ipv4Addr,
    data_centre: usize,
    started_at: u64,
    is_running: bool,
    is_cut_off: bool,
    pending: Vec<(relay::ForwardScope, relay::InstanceUpdate)>,
    next_send: u64,
}

impl NetworkMember {
    fn now(&self, millis: u64) -> clock::Timestamp {
        at(millis - self.started_at)
    }
}

/// Layout of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetLayout {
    pub instances: usize,
    pub data_centres: usize,
    pub bound: relay::RetryBound,
}

/// Simulated fleet that exchanges state updates.
pub struct FleetNetwork {
    layout: FleetLayout,
    pub members: Vec<NetworkMember>,
    in_transit: collections::VecDeque<Datagram>,
    pub now: u64,
}

/// Returns the address of the instance at an index.
pub fn address(index: usize) -> net::Ipv4Addr {
    let [.., high, low] = (index as u32 + 1).to_be_bytes();
    net::Ipv4Addr::new(10, 0, high, low)
}

impl FleetNetwork {
    /// Starts all instances of a fleet, which know only the first three. The first two instances of
    /// each data centre have a larger capacity than the others.
    pub fn start(layout: FleetLayout) -> Self {
        let mut network = Self {
            layout,
            members: Vec::new(),
            in_transit: collections::VecDeque::new(),
            now: 0,
        };
        for index in 0..layout.instances {
            let member = network.new_member(index, 1);
            network.members.push(member);
        }
        network
    }

    fn new_member(&self, index: usize, incarnation: u64) -> NetworkMember {
        let data_centre = index % self.layout.data_centres;
        let is_large = index / self.layout.data_centres < 2;
        let settings = relay::CoreSettings::builder()
            .address(address(index))
            .incarnation(incarnation)
            .data_centre(format!("dc{data_centre}").into())
            .capacity(if is_large { 100 } else { 3 })
            .seeds((0..3).map(address).collect())
            .retry_bound(self.layout.bound)
            .seed(index as u64)
            .build();
        NetworkMember {
            core: relay::RelayCore::new(settings),
            count: DatagramCount::default(),
            address: address(index),
            data_centre,
            started_at: self.now,
            is_running: true,
            is_cut_off: false,
            pending: Vec::new(),
            next_send: self.now,
        }
    }

    /// Kills an instance.
    pub fn kill(&mut self, index: usize) {
        self.members[index].is_running = false;
    }

    /// Starts a new process of an instance.
    pub fn restart(&mut self, index: usize) {
        self.members[index] = self.new_member(index, self.now + 2);
    }

    /// Cuts an instance off from all others, or ends that.
    pub fn set_cut_off(&mut self, index: usize, is_cut_off: bool) {
        self.members[index].is_cut_off = is_cut_off;
    }

    /// Makes an instance send its state soon, as after a change.
    pub fn notify_change(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.next_send = member.next_send.min(self.now + STEP_MILLIS);
    }

    /// Runs a decision of an instance at the current time.
    pub fn decide<T>(
        &mut self,
        index: usize,
        decision: impl FnOnce(&mut relay::RelayCore, clock::Timestamp) -> T,
    ) -> T {
        let member = &mut self.members[index];
        let now = member.now(self.now);
        decision(&mut member.core, now)
    }

    /// Returns the number of instances that an instance knows to be alive, including itself.
    pub fn live_count(&mut self, index: usize) -> usize {
        self.decide(index, |core, now| core.instances().live_count(now))
    }

    /// Resets the counts of datagrams.
    pub fn reset_counts(&mut self) {
        for member in &mut self.members {
            member.count = DatagramCount::default();
        }
    }

    /// Exchanges updates for `millis` milliseconds.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MILLIS;
            self.deliver();
            for index in 0..self.members.len() {
                let member = &self.members[index];
                if member.is_running && member.next_send <= self.now {
                    self.send(index);
                }
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(datagram) = self
            .in_transit
            .pop_front_if(|datagram| datagram.arrives_at <= self.now)
        {
            let now = self.now;
            let sender = datagram.update.address;
            let sender_centre = self.member_at(sender).data_centre;
            let member = self.member_at(datagram.to);
            if !member.is_running || member.is_cut_off {
                continue;
            }
            member.count.received += 1;
            member.count.from_elsewhere += u32::from(sender_centre != member.data_centre);
            let time = member.now(now);
            let core = &mut member.core;
            let direct =
                core.apply_direct_update(time, datagram.update.clone(), datagram.forwarding);
            let mut updates = vec![(direct.scope, datagram.update)];
            for update in datagram.forwarded {
                let effect = core.apply_forwarded_update(time, update.clone());
                updates.push((effect.scope, update));
            }
            updates.retain(|(scope, _)| *scope != relay::ForwardScope::Nowhere);
            if core.update_routes(time).is_forwarding() {
                member.pending.extend(updates);
                member.next_send = member.next_send.min(now + FORWARDER_WINDOW);
            }
        }
    }

    fn send(&mut self, index: usize) {
        let now = self.now;
        let member = &mut self.members[index];
        let time = member.now(now);
        let routes = member.core.update_routes(time);
        let update = member.core.due_update(time);
        let greetings = member.core.due_greetings(time);
        let pending = std::mem::take(&mut member.pending);
        let for_forwarders: Vec<relay::InstanceUpdate> = pending
            .iter()
            .filter(|(scope, _)| *scope == relay::ForwardScope::Everywhere)
            .map(|(_, update)| update.clone())
            .collect();
        let for_members: Vec<relay::InstanceUpdate> =
            pending.into_iter().map(|(_, update)| update).collect();
        member.next_send = now
            + if routes.is_forwarding() {
                FORWARDER_INTERVAL
            } else {
                UPDATE_INTERVAL
            };
        let direct: Vec<net::Ipv4Addr> = routes.direct.into_iter().collect();
        self.transmit(index, &direct, &update, false, &[]);
        self.transmit(index, &routes.members, &update, true, &for_members);
        self.transmit(index, &routes.forwarders, &update, true, &for_forwarders);
        for greeting in greetings {
            self.transmit(index, &[greeting.newcomer], &greeting.update, false, &[]);
        }
    }

    fn transmit(
        &mut self,
        index: usize,
        receivers: &[net::Ipv4Addr],
        update: &relay::InstanceUpdate,
        forwarding: bool,
        forwarded: &[relay::InstanceUpdate],
    ) {
        if self.members[index].is_cut_off {
            return;
        }
        self.members[index].count.sent += receivers.len() as u32;
        for receiver in receivers {
            self.in_transit.push_back(Datagram {
                arrives_at: self.now + DELAY_MILLIS,
                to: *receiver,
                update: update.clone(),
                forwarding,
                forwarded: forwarded.to_vec(),
            });
        }
    }

    fn member_at(&mut self, address: net::Ipv4Addr) -> &mut NetworkMember {
        let found = self
            .members
            .iter_mut()
            .find(|member| member.address == address);
        found.expect("the address is of an instance")
    }
}
