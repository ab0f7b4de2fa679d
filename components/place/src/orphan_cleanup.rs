//! Cancellation of work whose entry is gone, found by unconfirmed leases and by running lists.

use std::{collections, time};

use crate::{
    cell_planner, engine_health, entry_updates, held_lease, keys, message, output, owner_context,
    unleased_work, work_key,
};

/// Time for which an engine must list unleased work before the work may be cancelled.
const ORPHAN_GRACE: time::Duration = time::Duration::from_secs(2);

/// Time without confirmation of a lease after which claims are requested from its entry.
const UNCONFIRMED_TIMEOUT: time::Duration = time::Duration::from_secs(6);

/// Time without confirmation after which a lease that its entry no longer lists is ended.
const UNLISTED_TIMEOUT: time::Duration = time::Duration::from_secs(9);

/// Time without confirmation after which a lease ends even if its entry is alive in the
/// membership.
const MAX_UNCONFIRMED_TIME: time::Duration = time::Duration::from_secs(30);

/// Delay after a cancellation before the engine's running list is read again; until then, listed
/// work that was cancelled or has ended is not cancelled again.
const VERIFY_DELAY: time::Duration = time::Duration::from_secs(1);

impl cell_planner::CellPlanner {
    /// Ends the leases whose entry is gone or no longer lists them, and cancels orphaned work.
    pub fn sweep(
        &mut self,
        now: clock::Timestamp,
        context: &mut owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) {
        for entry in self.unconfirmed_entries(now) {
            context.request_claims(now, self.cell.id, entry, outputs);
        }
        let ended: Vec<keys::LeaseKey> = self
            .cell_state
            .leases()
            .filter(|(_, lease)| is_lease_abandoned(now, self.cell.id, lease, context))
            .map(|(key, _)| key)
            .collect();
        for key in ended {
            self.end_lease(now, key, outputs);
        }
        self.cancel_orphans(now, context, outputs);
    }

    /// Returns the entries with leases unconfirmed for `UNCONFIRMED_TIMEOUT` or work unleased for
    /// `ORPHAN_GRACE`.
    fn unconfirmed_entries(&self, now: clock::Timestamp) -> collections::BTreeSet<ids::InstanceId> {
        let unconfirmed = self
            .cell_state
            .leases()
            .filter(|(_, lease)| {
                lease.confirmed_at.max(lease.start_at) + UNCONFIRMED_TIMEOUT <= now
            })
            .map(|(_, lease)| lease.entry);
        let unleased = self
            .cell_state
            .engines()
            .flat_map(|(_, engine)| engine.unleased.values())
            .filter(|unleased| unleased.first_seen + ORPHAN_GRACE <= now)
            .map(|unleased| unleased.entry);
        unconfirmed.chain(unleased).collect()
    }

    /// Applies the running list of an engine; `None` means that it could not be read.
    pub fn apply_running_list(
        &mut self,
        now: clock::Timestamp,
        key: keys::EngineKey,
        list: Option<Vec<border::RunningEntry>>,
        context: &owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(list) = list else {
            self.mark_down(key);
            return;
        };
        for entry in &list {
            self.update_progress(now, entry);
        }
        let unleased: Vec<border::RunningEntry> = list
            .into_iter()
            .filter(|entry| self.cell_state.lease_of_work(work_of(entry)).is_none())
            .collect();
        if let Some(engine) = self.cell_state.engine_mut(key) {
            engine.health = engine_health::EngineHealth::Up;
            let previous = std::mem::take(&mut engine.unleased);
            for entry in unleased {
                let work = work_of(&entry);
                let previous = previous.get(&work);
                engine
                    .unleased
                    .insert(work, unleased_work_of(now, &entry, previous));
            }
        }
        self.drop_recently_ended(now, key);
        self.cancel_orphans(now, context, outputs);
        self.update_recovery(now, context);
    }

    fn mark_down(&mut self, key: keys::EngineKey) {
        if let Some(engine) = self.cell_state.engine_mut(key) {
            engine.health = engine_health::EngineHealth::Down;
            engine.unleased.clear();
        }
    }

    fn update_progress(&mut self, now: clock::Timestamp, entry: &border::RunningEntry) {
        let key = self.cell_state.lease_of_work(work_of(entry));
        if let Some(lease) = key.and_then(|key| self.cell_state.lease_mut(key)) {
            lease.generated = lease.generated.max(entry.generated_tokens);
            lease.progress_at = now;
        }
    }

    /// Drops listed work that ended within `VERIFY_DELAY`, since the list may predate its end.
    fn drop_recently_ended(&mut self, now: clock::Timestamp, key: keys::EngineKey) {
        let Some(engine) = self.cell_state.engine(key) else {
            return;
        };
        let recently_ended: Vec<work_key::WorkKey> = engine
            .unleased
            .keys()
            .filter(|work| {
                let ended_at = self.cell_state.ended.ended_at(**work);
                ended_at.is_some_and(|at| at + VERIFY_DELAY > now)
            })
            .copied()
            .collect();
        if recently_ended.is_empty() {
            return;
        }
        self.polls.poll_running_at(key, now + VERIFY_DELAY);
        if let Some(engine) = self.cell_state.engine_mut(key) {
            for work in recently_ended {
                engine.unleased.remove(&work);
            }
        }
    }

    fn end_lease(
        &mut self,
        now: clock::Timestamp,
        key: keys::LeaseKey,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(lease) = self.cell_state.remove(now, key) else {
            return;
        };
        for engine in [lease.prefill, lease.decode] {
            self.cancel_at(now, engine, lease.work, outputs);
        }
        let revoked = message::Message::Revoked(vec![lease.id]);
        outputs.push(output::Output::Send(lease.entry, revoked));
    }

    fn cancel_at(
        &mut self,
        now: clock::Timestamp,
        key: keys::EngineKey,
        work: work_key::WorkKey,
        outputs: &mut Vec<output::Output>,
    ) {
        if let Some(engine) = self.cell_state.engine(key) {
            let name = engine.entry.name.clone();
            outputs.push(output::Output::Cancel(name, work.request, work.attempt));
            self.polls.poll_running_at(key, now + VERIFY_DELAY);
        }
    }

    fn cancel_orphans(
        &mut self,
        now: clock::Timestamp,
        context: &owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) {
        if self.recovery.is_some() {
            return;
        }
        let mut orphans = Vec::new();
        let mut uncancelled = Vec::new();
        for (key, engine) in self.cell_state.engines() {
            for (work, unleased) in &engine.unleased {
                let ended = self.cell_state.ended.ended_at(*work).is_some();
                if is_orphan(now, self.cell.id, *work, unleased, ended, context) {
                    orphans.push((key, *work));
                } else {
                    uncancelled.push(key);
                }
            }
        }
        for (key, work) in orphans {
            self.cancel_at(now, key, work, outputs);
            let engine = self.cell_state.engine_mut(key);
            if let Some(unleased) = engine.and_then(|engine| engine.unleased.get_mut(&work)) {
                unleased.cancelled_at = Some(now);
            }
        }
        for key in uncancelled {
            self.polls.poll_running_at(key, now + ORPHAN_GRACE);
        }
    }
}

fn work_of(entry: &border::RunningEntry) -> work_key::WorkKey {
    work_key::WorkKey {
        request: entry.request,
        attempt: entry.attempt,
    }
}

fn unleased_work_of(
    now: clock::Timestamp,
    entry: &border::RunningEntry,
    previous: Option<&unleased_work::UnleasedWork>,
) -> unleased_work::UnleasedWork {
    unleased_work::UnleasedWork {
        entry: entry.entry,
        phase: entry.phase,
        kv_pieces: entry.kv_pieces,
        first_seen: previous.map_or(now, |previous| previous.first_seen),
        cancelled_at: previous.and_then(|previous| previous.cancelled_at),
    }
}

/// Returns whether the entry of a lease is gone, no longer lists the lease or has not confirmed
/// the lease for `MAX_UNCONFIRMED_TIME`.
fn is_lease_abandoned(
    now: clock::Timestamp,
    cell: ids::CellId,
    lease: &held_lease::HeldLease,
    context: &owner_context::OwnerContext,
) -> bool {
    let confirmed_at = lease.confirmed_at.max(lease.start_at);
    let unconfirmed_for = now.since(confirmed_at);
    let unlisted =
        context
            .entry_updates
            .has_listed_since(cell, lease.entry, confirmed_at + UNLISTED_TIMEOUT);
    entry_updates::is_gone(now, &context.view, lease.entry, confirmed_at)
        || unlisted
        || unconfirmed_for >= MAX_UNCONFIRMED_TIME
}

/// Returns whether unleased work must be cancelled because its entry is gone or does not claim the
/// work.
fn is_orphan(
    now: clock::Timestamp,
    cell: ids::CellId,
    work: work_key::WorkKey,
    unleased: &unleased_work::UnleasedWork,
    ended: bool,
    context: &owner_context::OwnerContext,
) -> bool {
    let cancelled = unleased
        .cancelled_at
        .is_some_and(|at| at + VERIFY_DELAY > now);
    if cancelled || context.entry_updates.is_active_request(now, work.request) {
        return false;
    }
    if entry_updates::is_gone(now, &context.view, unleased.entry, unleased.first_seen) {
        return true;
    }
    let past_grace = unleased.first_seen + ORPHAN_GRACE <= now;
    let unclaimed = ended
        || context.entry_updates.has_listed_since(
            cell,
            unleased.entry,
            unleased.first_seen + ORPHAN_GRACE,
        );
    past_grace && unclaimed || unleased.first_seen + MAX_UNCONFIRMED_TIME <= now
}
