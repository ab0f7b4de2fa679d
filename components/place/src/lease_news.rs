//! News of leases: updates, claims of a former owner's leases, and moves to another engine.

use std::time;

use crate::{
    cell_planner, engine_reach, held_lease, keys, lease_claim, lease_digest, lease_phase,
    lease_update, message, output, owner_context, refusal, refusal_reason, retarget_ask, takeover,
    work_key,
};

/// Time after which a caller may ask again whose work couldn't be moved.
const RETRY_SOON: time::Duration = time::Duration::from_millis(250);

impl cell_planner::CellPlanner {
    /// Takes news of a lease; returns whether the lease is, or was lately, of this cell.
    pub fn take_update(
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
                self.learn_output(key, update.generated_tokens, context);
                self.cell_state.remove(now, key);
            }
            lease_phase::LeasePhase::Failed => {
                self.suspect_engines(now, key);
                self.cell_state.remove(now, key);
            }
            _ => {
                self.cell_state
                    .advance(now, key, phase, update.generated_tokens);
            }
        }
        true
    }

    /// Takes what an entry holds in the cell: extends its leases, or asks for them all.
    pub fn take_holding(
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
        let counted: lease_digest::LeaseDigest = held.iter().map(|(_, id)| *id).collect();
        if counted != digest {
            context.want_claims(now, self.cell.id, from, outputs);
            return;
        }
        for (key, _) in held {
            if let Some(lease) = self.cell_state.lease_mut(key) {
                lease.heard_at = now;
            }
        }
    }

    /// Begins to learn what is held under leases of a former owner.
    pub fn begin_takeover(
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
            context.want_claims(now, self.cell.id, *entry, outputs);
        }
        self.cell_state.cautious = true;
        self.takeover = Some(takeover::TakeoverWait::new(now, entries.into_iter()));
        let keys: Vec<keys::EngineKey> = self.cell_state.engines().map(|(key, _)| key).collect();
        for key in keys {
            self.reads.read_running_at(key, now);
        }
    }

    /// Ends the cautious time if everything is known.
    pub fn settle_takeover(
        &mut self,
        now: clock::Timestamp,
        context: &owner_context::OwnerContext,
    ) {
        let Some(wait) = &mut self.takeover else {
            return;
        };
        wait.keep_only(|entry| {
            let known = context.view.members.get(&entry);
            known.is_some_and(|member| member.state != member::MemberState::Dead)
        });
        let listed = self
            .cell_state
            .engines()
            .all(|(_, engine)| engine.reach != engine_reach::EngineReach::Unlisted);
        if wait.is_over(now) && (listed || now >= wait.until()) {
            self.takeover = None;
            self.cell_state.cautious = false;
        }
    }

    /// Takes the claims of an instance.
    pub fn take_claims(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        claims: Vec<lease_claim::LeaseClaim>,
        last: bool,
        context: &owner_context::OwnerContext,
    ) {
        for claim in claims {
            self.take_claim(now, from, &claim, context);
        }
        if let Some(wait) = &mut self.takeover
            && last
        {
            wait.note_claimed(from);
        }
        self.settle_takeover(now, context);
    }

    /// Moves the decode side of a lease away from an engine that failed.
    pub fn retarget(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        ask: &retarget_ask::RetargetAsk,
        outputs: &mut Vec<output::Output>,
    ) {
        let failed = self.cell_state.engine_key(&ask.failed);
        if let Some(failed) = failed {
            self.suspect(now, failed);
        }
        let target = self.retarget_engine(ask, failed);
        let (Some(key), Some(target)) = (self.cell_state.lease_of_id(ask.lease), target) else {
            self.refuse_retarget(now, from, ask, outputs);
            return;
        };
        self.cell_state.move_decode(now, key, ask.attempt, target);
        if let Some(lease) = self.cell_state.lease_mut(key) {
            lease.heard_at = now;
            lease.phase = lease_phase::LeasePhase::Transfer;
            lease.start_at = now;
        }
        self.send_placed(now, key, outputs);
    }

    /// Holds an engine back from new work until it answers again.
    pub fn suspect(&mut self, now: clock::Timestamp, key: keys::EngineKey) {
        if let Some(engine) = self.cell_state.engine_mut(key) {
            engine.reach = engine_reach::EngineReach::Down;
        }
        self.reads.read_running_at(key, now);
    }

    fn retarget_engine(
        &mut self,
        ask: &retarget_ask::RetargetAsk,
        failed: Option<keys::EngineKey>,
    ) -> Option<keys::EngineKey> {
        let key = self.cell_state.lease_of_id(ask.lease)?;
        let lease = self.cell_state.lease(key)?;
        let pieces = lease.kv_pieces;
        let failed = failed.unwrap_or(lease.decode);
        self.policy
            .retarget(&self.cell_state, pieces, failed, ask.retained_for)
    }

    fn refuse_retarget(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        ask: &retarget_ask::RetargetAsk,
        outputs: &mut Vec<output::Output>,
    ) {
        if let Some(key) = self.cell_state.lease_of_id(ask.lease) {
            self.cell_state.remove(now, key);
        }
        let refused = refusal::Refusal {
            request: ask.request,
            attempt: ask.attempt,
            reason: refusal_reason::RefusalReason::NoEngine,
            retry_after: RETRY_SOON,
        };
        let message = message::Message::Refused(refused);
        outputs.push(output::Output::Send(from, message));
    }

    fn take_claim(
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
        let span = self
            .cell_state
            .engine(prefill)
            .map(|engine| engine.prefill_span(claim.prompt_tokens));
        let class = self.queue_class(context, work);
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
            .prefill_span(span.unwrap_or_default())
            .heard_at(now)
            .told_at(now)
            .build();
        self.cell_state.insert(lease);
    }

    /// Returns a class for claimed work, whose class isn't told: any that its model has.
    fn queue_class(
        &mut self,
        context: &owner_context::OwnerContext,
        _work: work_key::WorkKey,
    ) -> ids::ClassName {
        let fitting = context.state.classes.values().find_map(|class| {
            let note::ClassTarget::Generation(target) = &class.target else {
                return None;
            };
            let serves = target
                .models
                .iter()
                .any(|model| self.cell.models.contains(model));
            serves.then_some((&class.name, target))
        });
        let Some((name, target)) = fitting else {
            return "".into();
        };
        self.cell_state.guess_mut(name, target);
        name.clone()
    }

    fn learn_output(
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
            self.cell_state.guess_mut(&name, class).learn(generated);
        }
    }

    fn suspect_engines(&mut self, now: clock::Timestamp, key: keys::LeaseKey) {
        let Some(lease) = self.cell_state.lease(key) else {
            return;
        };
        let engine = if lease.is_reading() {
            lease.prefill
        } else {
            lease.decode
        };
        self.suspect(now, engine);
    }
}
