//! How a membership table takes messages and news.

use crate::{member_record, member_state, member_table, member_update, message, output};

impl member_table::MemberTable {
    pub(crate) fn take_message(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        message: message::Message,
        outputs: &mut Vec<output::Output>,
    ) {
        match message {
            message::Message::Probe(heartbeat) => {
                let sequence = heartbeat.sequence;
                self.take_heartbeat(now, from, heartbeat, outputs);
                let answer = self.heartbeat(from, sequence);
                outputs.push(output::Output::Send(from, message::Message::Ack(answer)));
            }
            message::Message::Ack(heartbeat) => self.take_ack(now, from, heartbeat, outputs),
            message::Message::ProbeFor(target) => {
                self.waiting.entry(target).or_default().insert(from);
                self.probe(target, outputs);
            }
            message::Message::AckFor(target, incarnation, epoch) => {
                self.round.acknowledge(target);
                let news = member_update::MemberUpdate {
                    instance: target,
                    incarnation,
                    epoch,
                    state: member_state::MemberState::Alive,
                    entry: None,
                };
                self.take_news(now, news, outputs);
            }
        }
    }

    fn take_ack(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        heartbeat: message::Heartbeat,
        outputs: &mut Vec<output::Output>,
    ) {
        self.round.acknowledge(from);
        if let Some(refresh) = &mut self.refresh {
            refresh.acknowledge(from, heartbeat.sequence);
        }
        for asker in self.waiting.remove(&from).unwrap_or_default() {
            let answer = message::Message::AckFor(from, heartbeat.incarnation, heartbeat.epoch);
            outputs.push(output::Output::Send(asker, answer));
        }
        self.take_heartbeat(now, from, heartbeat, outputs);
    }

    fn take_heartbeat(
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
        let news = member_update::MemberUpdate {
            instance: from,
            incarnation: heartbeat.incarnation,
            epoch: heartbeat.epoch,
            state,
            entry: None,
        };
        for news in heartbeat.updates.into_iter().chain([news]) {
            self.take_news(now, news, outputs);
        }
    }

    fn take_news(
        &mut self,
        now: clock::Timestamp,
        news: member_update::MemberUpdate,
        outputs: &mut Vec<output::Output>,
    ) {
        if news.instance == self.own.instance.id {
            self.refute(now, &news, outputs);
            return;
        }
        let joined = self.admit(&news);
        let members = self.records.len();
        let Some(record) = self.records.get_mut(&news.instance) else {
            return;
        };
        let before = (record.incarnation, record.state());
        if !record.learn(&news) {
            return;
        }
        if record.health == member_state::MemberState::Suspect {
            record.suspect_until = Some(now + member_table::suspect_time(members));
        }
        let after = (record.incarnation, record.state());
        let first = before.0 == ids::Incarnation(0) && before.1 == after.1;
        if first && !joined {
            self.learned = true;
            return;
        }
        self.news.push(news.instance, members);
        if joined || before != after {
            self.changed = true;
            self.spread_if_urgent(news.instance, outputs);
        }
    }

    /// Adds an instance that the platform's list doesn't name yet; returns whether it did.
    fn admit(&mut self, news: &member_update::MemberUpdate) -> bool {
        let Some(entry) = &news.entry else {
            return false;
        };
        let known = self.records.contains_key(&news.instance);
        if known || news.state == member_state::MemberState::Dead {
            return false;
        }
        let mut record = member_record::MemberRecord::new(entry.clone());
        record.announce = true;
        self.records.insert(news.instance, record);
        true
    }

    fn spread_if_urgent(&mut self, instance: ids::InstanceId, outputs: &mut Vec<output::Output>) {
        let urgent = self.records.get(&instance).is_some_and(|record| {
            record.announce || !matches!(record.state(), member_state::MemberState::Suspect)
        });
        if urgent {
            self.spread_at_once(instance, outputs);
        }
    }

    /// Answers news that this process is gone, and doubts the own view when there are any.
    fn refute(
        &mut self,
        now: clock::Timestamp,
        news: &member_update::MemberUpdate,
        outputs: &mut Vec<output::Output>,
    ) {
        let doubted = matches!(
            news.state,
            member_state::MemberState::Suspect | member_state::MemberState::Dead
        );
        let current = (news.incarnation, news.epoch) >= (self.own.incarnation, self.own.epoch);
        if !doubted || !current {
            return;
        }
        self.own.incarnation = self.own.incarnation.max(news.incarnation);
        self.own.epoch = news.epoch + 1;
        if news.state == member_state::MemberState::Dead {
            self.begin_refresh(now);
        }
        self.spread_at_once(self.own.instance.id, outputs);
    }
}
