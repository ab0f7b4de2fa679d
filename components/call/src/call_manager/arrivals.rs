//! Admission of arriving calls and updates of the backend servers.

use std::{collections, sync};

use crate::{call_entry, call_failure, call_spec, output, service_pool};

impl super::CallManager {
    /// Sets the servers of the pools to those of the state in force, then refuses or dispatches
    /// queued calls.
    pub(super) fn refresh_pools(
        &mut self,
        now: clock::Timestamp,
        outputs: &mut Vec<output::Output>,
    ) {
        let state = sync::Arc::clone(&self.state);
        let view = sync::Arc::clone(&self.view);
        let own = view.members.get(&view.own).map(|member| &member.instance);
        let instance_count = view
            .usable()
            .filter(|member| own.is_none_or(|own| own.region == member.instance.region))
            .count();
        let instance_count = u32::try_from(instance_count).unwrap_or(u32::MAX);
        let mut servers: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        for entry in state.servers.values() {
            servers.entry(&entry.service).or_default().push(entry);
        }
        for service in servers.keys() {
            if !self.pools.contains_key(*service) {
                let pool = service_pool::ServicePool::new(self.config.queue_limit);
                self.pools.insert((*service).clone(), pool);
            }
        }
        for (service, pool) in &mut self.pools {
            let entries = servers.remove(service).unwrap_or_default();
            pool.set_servers(entries.into_iter(), own, instance_count);
        }
        let services: Vec<_> = self.queued_services.iter().cloned().collect();
        for service in services {
            self.refuse_unserved(now, &service, outputs);
            self.dispatch(now, &service, outputs);
        }
        let queued = &self.queued_services;
        self.pools
            .retain(|service, pool| pool.has_any_server() || queued.contains(service));
    }

    /// Refuses the queued calls of a service without a server that accepts new calls.
    pub(super) fn refuse_unserved(
        &mut self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
        outputs: &mut Vec<output::Output>,
    ) {
        while let Some(pool) = self.pools.get_mut(service) {
            if pool.accepts_calls() {
                return;
            }
            let Some((request, _)) = pool.queue.pop(|_| 1) else {
                return;
            };
            self.fail(now, request, call_failure::CallFailure::NoServer, outputs);
        }
    }

    /// Adds a call to the queue of its service, or refuses it.
    ///
    /// A second arrival of the same request is ignored.
    pub(super) fn handle_arrival(
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
        let queue_deadline = now + spec.time_left / 2;
        let workspace = spec.workspace.clone();
        *self.workspace_counts.entry(workspace.clone()).or_default() += 1;
        self.unanswered += 1;
        let mut entry = call_entry::CallEntry::new(spec, now, deadline);
        if let Some(failure) = refusal {
            self.calls.insert(request, entry);
            self.fail(now, request, failure, outputs);
            return;
        }
        let mut evicted = None;
        if let Some(pool) = self.pools.get_mut(&service) {
            pool.budget.earn();
            let (ticket, evicted_call) = pool.queue.push(request, &workspace, priority);
            entry.phase = call_entry::CallPhase::Queued(ticket);
            evicted = evicted_call;
        }
        self.calls.insert(request, entry);
        self.set_timer(request, queue_deadline);
        if let Some(evicted) = evicted {
            self.fail(now, evicted, call_failure::CallFailure::QueueFull, outputs);
        }
        self.dispatch(now, &service, outputs);
    }

    /// Returns the reason to refuse a call at admission, if any.
    pub(super) fn refusal_on_arrival(
        &self,
        now: clock::Timestamp,
        spec: &call_spec::CallSpec,
    ) -> Option<call_failure::CallFailure> {
        let Some(pool) = self
            .pools
            .get(&spec.service)
            .filter(|pool| pool.accepts_calls())
        else {
            return Some(call_failure::CallFailure::NoServer);
        };
        if spec.time_left.is_zero() {
            return Some(call_failure::CallFailure::DeadlinePassed);
        }
        let in_flight = self
            .workspace_counts
            .get(&spec.workspace)
            .copied()
            .unwrap_or(0);
        let limit = self
            .state
            .workspaces
            .get(&spec.workspace)
            .map_or(u32::MAX, |workspace| workspace.in_flight_limit);
        if in_flight >= limit || pool.expected_wait(now) > spec.time_left / 2 {
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
        (!self.has_usable_view()).then_some(call_failure::CallFailure::ViewStale)
    }
}
