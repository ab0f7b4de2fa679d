//! Taking calls in, and the servers they may go to.

use std::{collections, sync};

use crate::{call_entry, call_failure, call_spec, output, service_lane};

impl super::CallManager {
    pub(super) fn refresh_lanes(
        &mut self,
        now: clock::Timestamp,
        outputs: &mut Vec<output::Output>,
    ) {
        let state = sync::Arc::clone(&self.state);
        let view = sync::Arc::clone(&self.view);
        let own = view.members.get(&view.own).map(|member| &member.instance);
        let sharers = view
            .usable()
            .filter(|member| own.is_none_or(|own| own.region == member.instance.region))
            .count();
        let sharers = u32::try_from(sharers).unwrap_or(u32::MAX);
        let mut servers: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        for entry in state.servers.values() {
            servers.entry(&entry.service).or_default().push(entry);
        }
        for service in servers.keys() {
            if !self.lanes.contains_key(*service) {
                let lane = service_lane::ServiceLane::new(self.config.queue_limit);
                self.lanes.insert((*service).clone(), lane);
            }
        }
        for (service, lane) in &mut self.lanes {
            let entries = servers.remove(service).unwrap_or_default();
            lane.set_servers(entries.into_iter(), own, sharers);
        }
        let services: Vec<_> = self.waiting.iter().cloned().collect();
        for service in services {
            self.refuse_unserved(now, &service, outputs);
            self.pump(now, &service, outputs);
        }
        let waiting = &self.waiting;
        self.lanes
            .retain(|service, lane| lane.has_any() || waiting.contains(service));
    }

    /// Refuses the waiting calls of a service that no server takes.
    pub(super) fn refuse_unserved(
        &mut self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
        outputs: &mut Vec<output::Output>,
    ) {
        while let Some(lane) = self.lanes.get_mut(service) {
            if lane.has_server() {
                return;
            }
            let Some((request, _)) = lane.queue.pop(|_| 1) else {
                return;
            };
            self.fail(now, request, call_failure::CallFailure::NoServer, outputs);
        }
    }

    pub(super) fn arrive(
        &mut self,
        now: clock::Timestamp,
        spec: call_spec::CallSpec,
        outputs: &mut Vec<output::Output>,
    ) {
        let request = spec.request;
        if self.calls.contains_key(&request) {
            return;
        }
        let service = spec.service.clone();
        let deadline = now + spec.time_left;
        let refusal = self.refusal_on_arrival(now, &spec);
        let priority = spec.priority;
        let wait_until = now + spec.time_left / 2;
        let workspace = spec.workspace.clone();
        *self.workspaces.entry(workspace.clone()).or_default() += 1;
        self.unanswered += 1;
        let mut entry = call_entry::CallEntry::new(spec, now, deadline);
        if let Some(failure) = refusal {
            self.calls.insert(request, entry);
            self.fail(now, request, failure, outputs);
            return;
        }
        let mut evicted = None;
        if let Some(lane) = self.lanes.get_mut(&service) {
            lane.budget.earn();
            let (ticket, loser) = lane.queue.push(request, &workspace, priority);
            entry.phase = call_entry::CallPhase::Queued(ticket);
            evicted = loser;
        }
        self.calls.insert(request, entry);
        self.set_timer(request, wait_until);
        if let Some(loser) = evicted {
            self.fail(now, loser, call_failure::CallFailure::QueueFull, outputs);
        }
        self.pump(now, &service, outputs);
    }

    /// Returns why a call is refused before anything is spent on it.
    pub(super) fn refusal_on_arrival(
        &self,
        now: clock::Timestamp,
        spec: &call_spec::CallSpec,
    ) -> Option<call_failure::CallFailure> {
        let Some(lane) = self
            .lanes
            .get(&spec.service)
            .filter(|lane| lane.has_server())
        else {
            return Some(call_failure::CallFailure::NoServer);
        };
        if spec.time_left.is_zero() {
            return Some(call_failure::CallFailure::DeadlinePassed);
        }
        let held = self.workspaces.get(&spec.workspace).copied().unwrap_or(0);
        let limit = self
            .state
            .workspaces
            .get(&spec.workspace)
            .map_or(u32::MAX, |workspace| workspace.in_flight_limit);
        if held >= limit || lane.expected_wait(now) > spec.time_left / 2 {
            return Some(call_failure::CallFailure::QueueFull);
        }
        if spec.idempotent || spec.key.is_none() {
            return None;
        }
        if spec
            .key_age
            .is_some_and(|age| age > self.config.key_retention)
        {
            return Some(call_failure::CallFailure::KeyUncertain);
        }
        (!self.view_is_usable()).then_some(call_failure::CallFailure::ViewStale)
    }
}
