//! Handling of messages and membership updates.

use crate::{member_record, member_state, member_table, member_update, message, output};

impl member_table::MemberTable {
    pub(crate) fn handle_message(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        message: message::Message,
        outputs: &mut Vec<output::Output>,
    ) {
        match message {
            message::Message::Probe(heartbeat) => {
                let sequence = heartbeat.sequence;
                self.handle_heartbeat(now, from, heartbeat, outputs);
                let ack = self.heartbeat(from, sequence);
                outputs.push(output::Output::Send(from, message::Message::Ack(ack)));
            }
            message::Message::Ack(heartbeat) => self.handle_ack(now, from, heartbeat, outputs),
            message::Message::ProbeFor(target) => {
                self.indirect_requesters
                    .entry(target)
                    .or_default()
                    .insert(from);
                self.send_probe(target, outputs);
            }
            message::Message::AckFor(target, incarnation, epoch) => {
                self.schedule.acknowledge(target);
                let update = member_update::MemberUpdate {
                    instance: target,
                    incarnation,
                    epoch,
                    state: member_state::MemberState::Alive,
                    entry: None,
                };
                self.apply_update(now, update, outputs);
            }
        }
    }

    fn handle_ack(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        heartbeat: message::Heartbeat,
        outputs: &mut Vec<output::Output>,
    ) {
        self.schedule.acknowledge(from);
        if let Some(refresh) = &mut self.refresh {
            refresh.acknowledge(from, heartbeat.sequence);
        }
        for requester in self.indirect_requesters.remove(&from).unwrap_or_default() {
            let ack = message::Message::AckFor(from, heartbeat.incarnation, heartbeat.epoch);
            outputs.push(output::Output::Send(requester, ack));
        }
        self.handle_heartbeat(now, from, heartbeat, outputs);
    }

    fn handle_heartbeat(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        heartbeat: message::Heartbeat,
        outputs: &mut Vec<output::Output>,
    ) {
        let state = if heartbeat.leaving {
            member_state::MemberState::Leaving
        } else {
            member_state::MemberState::Alive
        };
        let update = member_update::MemberUpdate {
            instance: from,
            incarnation: heartbeat.incarnation,
            epoch: heartbeat.epoch,
            state,
            entry: None,
        };
        for update in heartbeat.updates.into_iter().chain([update]) {
            self.apply_update(now, update, outputs);
        }
    }

    fn apply_update(
        &mut self,
        now: clock::Timestamp,
        update: member_update::MemberUpdate,
        outputs: &mut Vec<output::Output>,
    ) {
        if update.instance == self.own.instance.id {
            self.refute(now, &update, outputs);
            return;
        }
        let joined = self.add_unlisted(&update);
        let members = self.records.len();
        let Some(record) = self.records.get_mut(&update.instance) else {
            return;
        };
        let before = (record.incarnation, record.state());
        if !record.apply(&update) {
            return;
        }
        if record.health == member_state::MemberState::Suspect {
            record.suspect_deadline = Some(now + member_table::suspect_timeout(members));
        }
        let after = (record.incarnation, record.state());
        // The first incarnation was received and the state is unchanged.
        let first_contact = before.0 == ids::Incarnation(0) && before.1 == after.1;
        if first_contact && !joined {
            // Other instances have the entry from the platform's list and receive the incarnation in
            // the heartbeats of the instance itself.
            self.incarnations_pending = true;
            return;
        }
        self.updates.push(update.instance, members);
        if joined || before != after {
            self.view_changed = true;
            self.gossip_if_urgent(update.instance, outputs);
        }
    }

    /// Adds an instance that the platform's list doesn't contain yet; returns whether it was added.
    fn add_unlisted(&mut self, update: &member_update::MemberUpdate) -> bool {
        let Some(entry) = &update.entry else {
            return false;
        };
        let known = self.records.contains_key(&update.instance);
        if known || update.state == member_state::MemberState::Dead {
            return false;
        }
        let mut record = member_record::MemberRecord::new(entry.clone());
        record.include_entry = true;
        self.records.insert(update.instance, record);
        true
    }

    fn gossip_if_urgent(&mut self, instance: ids::InstanceId, outputs: &mut Vec<output::Output>) {
        let urgent = self.records.get(&instance).is_some_and(|record| {
            record.include_entry || !matches!(record.state(), member_state::MemberState::Suspect)
        });
        if urgent {
            self.gossip_now(instance, outputs);
        }
    }

    /// Refutes an update that reports this process as suspect or dead.
    ///
    /// When peers consider this process dead, its own view may be out of date and is refreshed too.
    fn refute(
        &mut self,
        now: clock::Timestamp,
        update: &member_update::MemberUpdate,
        outputs: &mut Vec<output::Output>,
    ) {
        let refutable = matches!(
            update.state,
            member_state::MemberState::Suspect | member_state::MemberState::Dead
        );
        let current = (update.incarnation, update.epoch) >= (self.own.incarnation, self.own.epoch);
        if !refutable || !current {
            return;
        }
        self.own.incarnation = self.own.incarnation.max(update.incarnation);
        self.own.epoch = update.epoch + 1;
        if update.state == member_state::MemberState::Dead {
            self.begin_refresh(now);
        }
        self.gossip_now(self.own.instance.id, outputs);
    }
}
