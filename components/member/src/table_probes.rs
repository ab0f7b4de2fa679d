//! Probes of members, with piggybacked membership updates.

use rand::seq::IndexedRandom as _;

use crate::{member_state, member_table, member_update, message, output, probe_schedule};

/// Maximum number of updates in one heartbeat.
pub const UPDATE_LIMIT: usize = 6;

impl member_table::MemberTable {
    /// Probes the next member of the schedule.
    pub(crate) fn probe_next(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        let members: Vec<_> = self.records.keys().copied().collect();
        let Some(target) = self.schedule.next(&members, &mut self.random) else {
            return;
        };
        let same_region = self
            .records
            .get(&target)
            .is_some_and(|record| record.instance.region == self.own.instance.region);
        let timeouts = if same_region {
            probe_schedule::SAME_REGION_TIMEOUTS
        } else {
            probe_schedule::OTHER_REGION_TIMEOUTS
        };
        self.schedule.open(now, target, timeouts);
        self.send_probe(target, outputs);
    }

    /// Requests indirect probes of members that haven't acknowledged a direct probe in time.
    pub(crate) fn probe_indirectly(
        &mut self,
        now: clock::Timestamp,
        outputs: &mut Vec<output::Output>,
    ) {
        for target in self.schedule.due_indirect(now) {
            for helper in self.sample_alive(member_table::INDIRECT_PROBES, target) {
                let request = message::Message::ProbeFor(target);
                outputs.push(output::Output::Send(helper, request));
            }
        }
    }

    /// Marks members as suspect whose direct and indirect probes were not acknowledged in time.
    pub(crate) fn expire_probes(&mut self, now: clock::Timestamp) {
        for target in self.schedule.expire(now) {
            self.suspect(now, target);
        }
    }

    fn suspect(&mut self, now: clock::Timestamp, target: ids::InstanceId) {
        let members = self.records.len();
        let Some(record) = self.records.get_mut(&target) else {
            return;
        };
        if record.health != member_state::MemberState::Alive {
            return;
        }
        record.health = member_state::MemberState::Suspect;
        record.suspect_deadline = Some(now + member_table::suspect_timeout(members));
        self.updates.push(target, members);
        self.view_changed = true;
    }

    /// Declares suspects dead that have not refuted the suspicion in time.
    pub(crate) fn expire_suspects(
        &mut self,
        now: clock::Timestamp,
        outputs: &mut Vec<output::Output>,
    ) {
        let mut dead = Vec::new();
        for (instance, record) in &mut self.records {
            if record
                .suspect_deadline
                .is_some_and(|deadline| now >= deadline)
            {
                record.suspect_deadline = None;
                record.health = member_state::MemberState::Dead;
                dead.push(*instance);
            }
        }
        for instance in dead {
            self.view_changed = true;
            self.updates.push(instance, self.records.len());
            self.gossip_now(instance, outputs);
        }
    }

    /// Sends a probe and returns its sequence number.
    pub(crate) fn send_probe(
        &mut self,
        target: ids::InstanceId,
        outputs: &mut Vec<output::Output>,
    ) -> u64 {
        self.sequence += 1;
        let sequence = self.sequence;
        let heartbeat = self.heartbeat(target, sequence);
        let probe = message::Message::Probe(heartbeat);
        outputs.push(output::Output::Send(target, probe));
        sequence
    }

    /// Returns a heartbeat for `target` with the updates that have the most remaining transmissions.
    ///
    /// A target that this instance considers suspect or dead also receives the update about itself,
    /// so that it can refute the suspicion.
    pub(crate) fn heartbeat(
        &mut self,
        target: ids::InstanceId,
        sequence: u64,
    ) -> message::Heartbeat {
        let target_update = self
            .records
            .get(&target)
            .filter(|record| record.health != member_state::MemberState::Alive)
            .map(|record| record.update());
        let limit = UPDATE_LIMIT - usize::from(target_update.is_some());
        let batch = self.updates.next_batch(limit);
        let updates = batch
            .into_iter()
            .filter(|instance| *instance != target)
            .filter_map(|instance| self.update_of(instance));
        message::Heartbeat {
            incarnation: self.own.incarnation,
            epoch: self.own.epoch,
            leaving: self.own.draining,
            sequence,
            updates: target_update.into_iter().chain(updates).collect(),
        }
    }

    /// Sends a change to a few members immediately and queues it for the others.
    ///
    /// The number of immediate sends is limited, so that the traffic stays bounded when a whole
    /// region becomes unresponsive; further changes are piggybacked on heartbeats.
    pub(crate) fn gossip_now(
        &mut self,
        instance: ids::InstanceId,
        outputs: &mut Vec<output::Output>,
    ) {
        self.updates.push(instance, self.records.len());
        if self.urgent_budget == 0 {
            return;
        }
        self.urgent_budget -= 1;
        for peer in self.sample_alive(member_table::URGENT_PEERS, instance) {
            self.send_probe(peer, outputs);
        }
    }

    fn update_of(&self, instance: ids::InstanceId) -> Option<member_update::MemberUpdate> {
        if instance == self.own.instance.id {
            return Some(self.own.update());
        }
        self.records.get(&instance).map(|record| record.update())
    }

    fn sample_alive(&mut self, count: usize, except: ids::InstanceId) -> Vec<ids::InstanceId> {
        let alive: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| record.health == member_state::MemberState::Alive)
            .map(|(instance, _)| *instance)
            .filter(|instance| *instance != except)
            .collect();
        alive.sample(&mut self.random, count).copied().collect()
    }
}
