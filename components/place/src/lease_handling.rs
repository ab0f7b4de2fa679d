//! Lease updates and digests, recovery of a former owner's leases by claims, and moves to another
//! decode engine.

use std::time;

use crate::{
    cell_planner, engine_health, held_lease, keys, lease_claim, lease_digest, lease_phase,
    lease_recovery, lease_update, message, output, owner_context, refusal, refusal_reason,
    retarget_request, work_key,
};

/// Retry delay returned when no other decode engine is available.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(250);

impl cell_planner::CellPlanner {
    /// Applies a lease update; returns whether the lease belongs or recently belonged to the cell.
    pub fn apply_update(
        &mut self,
        now: clock::Timestamp,
        update: &lease_update::LeaseUpdate,
        context: &owner_context::OwnerContext,
    ) -> bool {
        let Some(key) = self.cell_state.lease_of_id(update.lease) else {
            return self.cell_state.ended.has_lease(update.lease);
        };
        let phase = update.phase;
        match phase {
            lease_phase::LeasePhase::Released => {
                self.record_output(key, update.generated_tokens, context);
                self.cell_state.remove(now, key);
            }
            lease_phase::LeasePhase::Failed => {
                self.mark_failed_engine(now, key);
                self.cell_state.remove(now, key);
            }
            _ => {
                self.cell_state
                    .advance(now, key, phase, update.generated_tokens);
            }
        }
        true
    }

    /// Compares an entry's digest of its leases in the cell with a digest of the leases that the
    /// owner holds for the entry.
    ///
    /// If they agree, all leases of the entry are extended; otherwise its claims are requested.
    pub fn apply_digest(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        digest: lease_digest::LeaseDigest,
        context: &mut owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) {
        let held: Vec<(keys::LeaseKey, ids::LeaseId)> = self
            .cell_state
            .leases()
            .filter(|(_, lease)| lease.entry == from)
            .map(|(key, lease)| (key, lease.id))
            .collect();
        let expected: lease_digest::LeaseDigest = held.iter().map(|(_, id)| *id).collect();
        if expected != digest {
            context.request_claims(now, self.cell.id, from, outputs);
            return;
        }
        for (key, _) in held {
            if let Some(lease) = self.cell_state.lease_mut(key) {
                lease.confirmed_at = now;
            }
        }
    }

    /// Starts the recovery of a former owner's leases: requests the claims of all live instances
    /// and polls the running lists.
    pub fn start_recovery(
        &mut self,
        now: clock::Timestamp,
        context: &mut owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) {
        let entries: Vec<ids::InstanceId> = context
            .view
            .members
            .values()
            .filter(|member| member.state != member::MemberState::Dead)
            .map(|member| member.instance.id)
            .collect();
        for entry in &entries {
            context.request_claims(now, self.cell.id, *entry, outputs);
        }
        self.cell_state.recovering = true;
        self.recovery = Some(lease_recovery::LeaseRecovery::new(now, entries.into_iter()));
        let keys: Vec<keys::EngineKey> = self.cell_state.engines().map(|(key, _)| key).collect();
        for key in keys {
            self.polls.poll_running_at(key, now);
        }
    }

    /// Ends the recovery if all claims and running lists have been received or the time limit has
    /// passed.
    pub fn update_recovery(
        &mut self,
        now: clock::Timestamp,
        context: &owner_context::OwnerContext,
    ) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        recovery.retain_entries(|entry| {
            let member = context.view.members.get(&entry);
            member.is_some_and(|member| member.state != member::MemberState::Dead)
        });
        let all_polled = self
            .cell_state
            .engines()
            .all(|(_, engine)| engine.health != engine_health::EngineHealth::Unpolled);
        if recovery.is_complete(now) && (all_polled || now >= recovery.deadline()) {
            self.recovery = None;
            self.cell_state.recovering = false;
        }
    }

    /// Applies claims of an instance; `last` marks the last part of its list.
    pub fn apply_claims(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        claims: Vec<lease_claim::LeaseClaim>,
        last: bool,
        context: &owner_context::OwnerContext,
    ) {
        for claim in claims {
            self.apply_claim(now, from, &claim, context);
        }
        if let Some(recovery) = &mut self.recovery
            && last
        {
            recovery.record_claimed(from);
        }
        self.update_recovery(now, context);
    }

    /// Moves the decode side of a lease away from a failed engine.
    ///
    /// If no other engine is available, the move is refused and the lease removed.
    pub fn retarget(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        request: &retarget_request::RetargetRequest,
        outputs: &mut Vec<output::Output>,
    ) {
        let failed = self.cell_state.engine_key(&request.failed);
        if let Some(failed) = failed {
            self.exclude_engine(now, failed);
        }
        let target = self.retarget_engine(request, failed);
        let (Some(key), Some(target)) = (self.cell_state.lease_of_id(request.lease), target) else {
            self.refuse_retarget(now, from, request, outputs);
            return;
        };
        self.cell_state
            .move_decode(now, key, request.attempt, target);
        if let Some(lease) = self.cell_state.lease_mut(key) {
            lease.confirmed_at = now;
            lease.phase = lease_phase::LeasePhase::Transfer;
            lease.start_at = now;
        }
        self.send_placed(now, key, outputs);
    }

    /// Excludes an engine from new work until it responds to a poll.
    pub fn exclude_engine(&mut self, now: clock::Timestamp, key: keys::EngineKey) {
        if let Some(engine) = self.cell_state.engine_mut(key) {
            engine.health = engine_health::EngineHealth::Down;
        }
        self.polls.poll_running_at(key, now);
    }

    fn retarget_engine(
        &mut self,
        request: &retarget_request::RetargetRequest,
        failed: Option<keys::EngineKey>,
    ) -> Option<keys::EngineKey> {
        let key = self.cell_state.lease_of_id(request.lease)?;
        let lease = self.cell_state.lease(key)?;
        let pieces = lease.kv_pieces;
        let failed = failed.unwrap_or(lease.decode);
        self.policy
            .retarget(&self.cell_state, pieces, failed, request.retained_for)
    }

    fn refuse_retarget(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        request: &retarget_request::RetargetRequest,
        outputs: &mut Vec<output::Output>,
    ) {
        if let Some(key) = self.cell_state.lease_of_id(request.lease) {
            self.cell_state.remove(now, key);
        }
        let refusal = refusal::Refusal {
            request: request.request,
            attempt: request.attempt,
            reason: refusal_reason::RefusalReason::NoEngine,
            retry_after: RETRY_DELAY,
        };
        let message = message::Message::Refused(refusal);
        outputs.push(output::Output::Send(from, message));
    }

    fn apply_claim(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        claim: &lease_claim::LeaseClaim,
        context: &owner_context::OwnerContext,
    ) {
        let placement = &claim.placement;
        let work = work_key::WorkKey {
            request: placement.request,
            attempt: placement.attempt,
        };
        if let Some(key) = self.cell_state.lease_of_id(placement.lease) {
            self.cell_state
                .advance(now, key, claim.phase, claim.generated_tokens);
            return;
        }
        let prefill = self.cell_state.engine_key(&placement.prefill);
        let decode = self.cell_state.engine_key(&placement.decode);
        let (Some(prefill), Some(decode)) = (prefill, decode) else {
            return;
        };
        if self.cell_state.ended.ended_at(work).is_some() {
            return;
        }
        let duration = self
            .cell_state
            .engine(prefill)
            .map(|engine| engine.prefill_duration(claim.prompt_tokens));
        let class = self.class_for_claim(context, work);
        let lease = held_lease::HeldLease::builder()
            .id(placement.lease)
            .work(work)
            .entry(from)
            .class(class)
            .prefill(prefill)
            .decode(decode)
            .kv_pieces(placement.kv_pieces)
            .prompt_tokens(claim.prompt_tokens)
            .phase(claim.phase)
            .generated(claim.generated_tokens)
            .start_at(now + placement.start_in)
            .prefill_duration(duration.unwrap_or_default())
            .confirmed_at(now)
            .progress_at(now)
            .build();
        self.cell_state.insert(lease);
    }

    /// Returns a class for claimed work: any whose models the cell serves, since claims do not
    /// include the class.
    fn class_for_claim(
        &mut self,
        context: &owner_context::OwnerContext,
        _work: work_key::WorkKey,
    ) -> ids::ClassName {
        let matching = context.state.classes.values().find_map(|class| {
            let note::ClassTarget::Generation(target) = &class.target else {
                return None;
            };
            let serves = target
                .models
                .iter()
                .any(|model| self.cell.models.contains(model));
            serves.then_some((&class.name, target))
        });
        let Some((name, target)) = matching else {
            // No output estimator exists for an empty class name.
            return "".into();
        };
        self.cell_state.output_estimator_mut(name, target);
        name.clone()
    }

    fn record_output(
        &mut self,
        key: keys::LeaseKey,
        generated: u32,
        context: &owner_context::OwnerContext,
    ) {
        let Some(lease) = self.cell_state.lease(key) else {
            return;
        };
        let name = lease.class.clone();
        if let Some(class) = cell_planner::generation_class(context, &name)
            && lease.is_decoding()
            && generated > 0
        {
            self.cell_state
                .output_estimator_mut(&name, class)
                .observe(generated);
        }
    }

    fn mark_failed_engine(&mut self, now: clock::Timestamp, key: keys::LeaseKey) {
        let Some(lease) = self.cell_state.lease(key) else {
            return;
        };
        let engine = if lease.is_prefilling() {
            lease.prefill
        } else {
            lease.decode
        };
        self.exclude_engine(now, engine);
    }
}
