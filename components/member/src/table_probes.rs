//! How a membership table probes and tells members.

use rand::seq::IndexedRandom as _;

use crate::{member_state, member_table, member_update, message, output, probe_round};

/// News that one heartbeat carries at most.
pub const NEWS_LIMIT: usize = 6;

impl member_table::MemberTable {
    /// Probes the next member.
    pub(crate) fn begin_probe(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        let members: Vec<_> = self.records.keys().copied().collect();
        let Some(target) = self.round.next(&members, &mut self.random) else {
            return;
        };
        let near = self
            .records
            .get(&target)
            .is_some_and(|record| record.instance.region == self.own.instance.region);
        let times = if near {
            probe_round::NEAR_TIMES
        } else {
            probe_round::FAR_TIMES
        };
        self.round.open(now, target, times);
        self.probe(target, outputs);
    }

    /// Asks others to probe members that haven't acknowledged a direct probe.
    pub(crate) fn probe_indirectly(
        &mut self,
        now: clock::Timestamp,
        outputs: &mut Vec<output::Output>,
    ) {
        for target in self.round.take_indirect(now) {
            for helper in self.sample_alive(member_table::INDIRECT_PROBES, target) {
                let ask = message::Message::ProbeFor(target);
                outputs.push(output::Output::Send(helper, ask));
            }
        }
    }

    /// Suspects the members whose probe nobody has acknowledged.
    pub(crate) fn end_probes(&mut self, now: clock::Timestamp) {
        for target in self.round.take_silent(now) {
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
        record.suspect_until = Some(now + member_table::suspect_time(members));
        self.news.push(target, members);
        self.changed = true;
    }

    /// Holds suspects to be dead that have not refuted in time.
    pub(crate) fn bury_suspects(
        &mut self,
        now: clock::Timestamp,
        outputs: &mut Vec<output::Output>,
    ) {
        let mut dead = Vec::new();
        for (instance, record) in &mut self.records {
            if record.suspect_until.is_some_and(|until| now >= until) {
                record.suspect_until = None;
                record.health = member_state::MemberState::Dead;
                dead.push(*instance);
            }
        }
        for instance in dead {
            self.changed = true;
            self.news.push(instance, self.records.len());
            self.spread_at_once(instance, outputs);
        }
    }

    /// Sends a probe and returns its number.
    pub(crate) fn probe(
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

    /// Makes a heartbeat for `target` that carries what is newest.
    pub(crate) fn heartbeat(
        &mut self,
        target: ids::InstanceId,
        sequence: u64,
    ) -> message::Heartbeat {
        let doubt = self
            .records
            .get(&target)
            .filter(|record| record.health != member_state::MemberState::Alive)
            .map(|record| record.news());
        let limit = NEWS_LIMIT - usize::from(doubt.is_some());
        let taken = self.news.take(limit);
        let news = taken
            .into_iter()
            .filter(|instance| *instance != target)
            .filter_map(|instance| self.news_of(instance));
        message::Heartbeat {
            incarnation: self.own.incarnation,
            epoch: self.own.epoch,
            leaving: self.own.leaving,
            sequence,
            updates: doubt.into_iter().chain(news).collect(),
        }
    }

    /// Tells a few members at once of a change and queues it for the others.
    ///
    /// Of many changes in a row only some are told at once, so that the bytes stay bounded when
    /// a region goes silent; the others travel with the heartbeats.
    pub(crate) fn spread_at_once(
        &mut self,
        instance: ids::InstanceId,
        outputs: &mut Vec<output::Output>,
    ) {
        self.news.push(instance, self.records.len());
        if self.urgent_left == 0 {
            return;
        }
        self.urgent_left -= 1;
        for peer in self.sample_alive(member_table::URGENT_PEERS, instance) {
            self.probe(peer, outputs);
        }
    }

    fn news_of(&self, instance: ids::InstanceId) -> Option<member_update::MemberUpdate> {
        if instance == self.own.instance.id {
            return Some(self.own.news());
        }
        self.records.get(&instance).map(|record| record.news())
    }

    fn sample_alive(&mut self, count: usize, but: ids::InstanceId) -> Vec<ids::InstanceId> {
        let alive: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| record.health == member_state::MemberState::Alive)
            .map(|(instance, _)| *instance)
            .filter(|instance| *instance != but)
            .collect();
        alive.sample(&mut self.random, count).copied().collect()
    }
}
