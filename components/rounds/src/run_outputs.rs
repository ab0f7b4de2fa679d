//! How a run carries out what the machines ask for.

use std::time;

use crate::{fleet_event, fleet_run, message_size, service_model};

/// Time that the service lets a watch wait.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(15);

impl fleet_run::FleetRun {
    pub(crate) fn member(&mut self, index: usize, input: member::Input) {
        let mut outputs = Vec::new();
        self.nodes[index]
            .members
            .handle(self.now, input, &mut outputs);
        self.take_member(index, outputs);
    }

    pub(crate) fn take_member(&mut self, index: usize, outputs: Vec<member::Output>) {
        for output in outputs {
            match output {
                member::Output::Send(to, message) => {
                    let bytes = message_size::member_bytes(&message);
                    self.meter.member_messages += 1;
                    self.meter.member_bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
                    let from = self.nodes[index].entry.id;
                    self.send(index, to, fleet_event::FleetEvent::Member(from, message));
                }
                member::Output::ReadList => {
                    self.meter.list_reads += 1;
                    self.push(
                        self.now + fleet_run::ANSWER_DELAY,
                        index,
                        fleet_event::FleetEvent::Listed,
                    );
                }
                member::Output::ViewChanged(view) => {
                    self.meter.view_changes += 1;
                    self.spread(index, spread::Input::View(view));
                }
            }
        }
    }

    pub(crate) fn spread(&mut self, index: usize, input: spread::Input) {
        let mut outputs = Vec::new();
        self.nodes[index]
            .spreader
            .handle(self.now, input, &mut outputs);
        for output in outputs {
            self.take_spread(index, output);
        }
    }

    fn take_spread(&mut self, index: usize, output: spread::Output) {
        match output {
            spread::Output::Send(to, message) => self.send_spread(index, to, message),
            spread::Output::ReadService(after) => {
                self.meter.service_calls += 1;
                self.nodes[index].watch = None;
                self.push(
                    self.now + fleet_run::ANSWER_DELAY,
                    index,
                    fleet_event::FleetEvent::Read(after),
                );
            }
            spread::Output::WatchService(after) => self.watch(index, after),
            spread::Output::Diverged(..) => self.meter.divergences += 1,
            spread::Output::InForce(_) | spread::Output::Refused(..) => {}
        }
    }

    fn watch(&mut self, index: usize, after: ids::Revision) {
        self.meter.service_calls += 1;
        let down = self.service.health == service_model::ServiceHealth::Down;
        if down || self.service.latest() > after {
            self.push(
                self.now + fleet_run::ANSWER_DELAY,
                index,
                fleet_event::FleetEvent::Read(after),
            );
            return;
        }
        self.sequence += 1;
        let number = self.sequence;
        self.nodes[index].watch = Some((number, after));
        self.push(
            self.now + WATCH_WAIT,
            index,
            fleet_event::FleetEvent::WatchEnd(number),
        );
    }

    pub(crate) fn answer_watches(&mut self) {
        let latest = self.service.latest();
        for index in 0..self.nodes.len() {
            let Some((_, after)) = self.nodes[index].watch else {
                continue;
            };
            if latest > after {
                self.nodes[index].watch = None;
                self.push(
                    self.now + fleet_run::ANSWER_DELAY,
                    index,
                    fleet_event::FleetEvent::Read(after),
                );
            }
        }
    }

    fn send_spread(&mut self, index: usize, to: ids::InstanceId, message: spread::Message) {
        let bytes = message_size::spread_bytes(&message);
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.meter.spread_messages += 1;
        self.meter.spread_bytes += bytes;
        if matches!(message, spread::Message::Part(_)) {
            self.meter.part_bytes += bytes;
        }
        let from = self.nodes[index].entry.id;
        let far = self
            .find(to)
            .is_some_and(|other| self.nodes[other].entry.region != self.nodes[index].entry.region);
        if far {
            self.meter.far_bytes += bytes;
        }
        self.send(index, to, fleet_event::FleetEvent::Spread(from, message));
    }

    fn send(&mut self, index: usize, to: ids::InstanceId, event: fleet_event::FleetEvent) {
        let Some(target) = self.find(to) else {
            return;
        };
        let (from, to) = (&self.nodes[index].entry, &self.nodes[target].entry);
        let Some(delay) = self.links.delay(from, to, &mut self.random) else {
            return;
        };
        self.push(self.now + delay, target, event);
    }

    fn find(&self, instance: ids::InstanceId) -> Option<usize> {
        let index = usize::try_from(instance.0.checked_sub(1)?).ok()?;
        (index < self.nodes.len()).then_some(index)
    }
}
