//! Finds and ends work whose entry is gone: by leases without news and by running lists.

use std::{collections, time};

use crate::{
    cell_planner, engine_reach, entry_news, foreign_work, held_lease, keys, message, output,
    owner_context, work_key,
};

/// Time for which an engine must list work without a lease before it may be ended.
const ORPHAN_GRACE: time::Duration = time::Duration::from_secs(2);

/// Time without news of a lease after which its entry is asked for its claims.
const QUIET_SPAN: time::Duration = time::Duration::from_secs(6);

/// Time after which a lease that its entry doesn't list any more is ended.
const UNLISTED_SPAN: time::Duration = time::Duration::from_secs(9);

/// Time after which a silent entry's leases end although the membership holds it for alive.
const SILENCE_SPAN: time::Duration = time::Duration::from_secs(30);

/// Time after a cancellation at which the engine's list is read again.
const VERIFY_AFTER: time::Duration = time::Duration::from_secs(1);

impl cell_planner::CellPlanner {
    /// Ends the leases whose entry is gone or has disowned them.
    pub fn sweep(
        &mut self,
        now: clock::Timestamp,
        context: &mut owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) {
        for entry in self.doubtful_entries(now) {
            context.want_claims(now, self.cell.id, entry, outputs);
        }
        let ended: Vec<keys::LeaseKey> = self
            .cell_state
            .leases()
            .filter(|(_, lease)| is_abandoned(now, self.cell.id, lease, context))
            .map(|(key, _)| key)
            .collect();
        for key in ended {
            self.end_lease(now, key, outputs);
        }
        self.end_orphans(now, context, outputs);
    }

    /// Returns the instances whose leases or work went without news for long.
    fn doubtful_entries(&self, now: clock::Timestamp) -> collections::BTreeSet<ids::InstanceId> {
        let quiet = self
            .cell_state
            .leases()
            .filter(|(_, lease)| lease.heard_at.max(lease.start_at) + QUIET_SPAN <= now)
            .map(|(_, lease)| lease.entry);
        let unleased = self
            .cell_state
            .engines()
            .flat_map(|(_, engine)| engine.foreign.values())
            .filter(|foreign| foreign.first_seen + ORPHAN_GRACE <= now)
            .map(|foreign| foreign.entry);
        quiet.chain(unleased).collect()
    }

    /// Takes the running list of an engine; `None` says that it couldn't be read.
    pub fn take_running(
        &mut self,
        now: clock::Timestamp,
        key: keys::EngineKey,
        list: Option<Vec<border::RunningEntry>>,
        context: &owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(list) = list else {
            self.note_down(key);
            return;
        };
        for entry in &list {
            self.correct_progress(now, entry);
        }
        let unleased: Vec<border::RunningEntry> = list
            .into_iter()
            .filter(|entry| self.cell_state.lease_of_work(work_of(entry)).is_none())
            .collect();
        if let Some(engine) = self.cell_state.engine_mut(key) {
            engine.reach = engine_reach::EngineReach::Up;
            let earlier = std::mem::take(&mut engine.foreign);
            for entry in unleased {
                let work = work_of(&entry);
                let known = earlier.get(&work);
                engine.foreign.insert(work, foreign(now, &entry, known));
            }
        }
        self.forget_just_ended(now, key);
        self.end_orphans(now, context, outputs);
        self.settle_takeover(now, context);
    }

    fn note_down(&mut self, key: keys::EngineKey) {
        if let Some(engine) = self.cell_state.engine_mut(key) {
            engine.reach = engine_reach::EngineReach::Down;
            engine.foreign.clear();
        }
    }

    fn correct_progress(&mut self, now: clock::Timestamp, entry: &border::RunningEntry) {
        let key = self.cell_state.lease_of_work(work_of(entry));
        if let Some(lease) = key.and_then(|key| self.cell_state.lease_mut(key)) {
            lease.generated = lease.generated.max(entry.generated_tokens);
            lease.told_at = now;
        }
    }

    /// Leaves out of the count what was freed while the list was on its way.
    fn forget_just_ended(&mut self, now: clock::Timestamp, key: keys::EngineKey) {
        let Some(engine) = self.cell_state.engine(key) else {
            return;
        };
        let just_ended: Vec<work_key::WorkKey> = engine
            .foreign
            .keys()
            .filter(|work| {
                let ended_at = self.cell_state.ended.ended_at(**work);
                ended_at.is_some_and(|at| at + VERIFY_AFTER > now)
            })
            .copied()
            .collect();
        if just_ended.is_empty() {
            return;
        }
        self.reads.read_running_at(key, now + VERIFY_AFTER);
        if let Some(engine) = self.cell_state.engine_mut(key) {
            for work in just_ended {
                engine.foreign.remove(&work);
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
            self.reads.read_running_at(key, now + VERIFY_AFTER);
        }
    }

    fn end_orphans(
        &mut self,
        now: clock::Timestamp,
        context: &owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) {
        if self.takeover.is_some() {
            return;
        }
        let mut orphans = Vec::new();
        let mut unsure = Vec::new();
        for (key, engine) in self.cell_state.engines() {
            for (work, foreign) in &engine.foreign {
                let ended = self.cell_state.ended.ended_at(*work).is_some();
                if is_orphan(now, self.cell.id, *work, foreign, ended, context) {
                    orphans.push((key, *work));
                } else {
                    unsure.push(key);
                }
            }
        }
        for (key, work) in orphans {
            self.cancel_at(now, key, work, outputs);
            let engine = self.cell_state.engine_mut(key);
            if let Some(foreign) = engine.and_then(|engine| engine.foreign.get_mut(&work)) {
                foreign.cancelled_at = Some(now);
            }
        }
        for key in unsure {
            self.reads.read_running_at(key, now + ORPHAN_GRACE);
        }
    }
}

fn work_of(entry: &border::RunningEntry) -> work_key::WorkKey {
    work_key::WorkKey {
        request: entry.request,
        attempt: entry.attempt,
    }
}

fn foreign(
    now: clock::Timestamp,
    entry: &border::RunningEntry,
    known: Option<&foreign_work::ForeignWork>,
) -> foreign_work::ForeignWork {
    foreign_work::ForeignWork {
        entry: entry.entry,
        phase: entry.phase,
        kv_pieces: entry.kv_pieces,
        first_seen: known.map_or(now, |known| known.first_seen),
        cancelled_at: known.and_then(|known| known.cancelled_at),
    }
}

/// Returns whether the entry of a lease is gone, or alive and without the lease.
fn is_abandoned(
    now: clock::Timestamp,
    cell: ids::CellId,
    lease: &held_lease::HeldLease,
    context: &owner_context::OwnerContext,
) -> bool {
    let heard_at = lease.heard_at.max(lease.start_at);
    let quiet = now.since(heard_at);
    let unlisted = context
        .news
        .has_listed_since(cell, lease.entry, heard_at + UNLISTED_SPAN);
    entry_news::is_gone(now, &context.view, lease.entry, heard_at)
        || unlisted
        || quiet >= SILENCE_SPAN
}

/// Returns whether work without a lease belongs to no live entry.
fn is_orphan(
    now: clock::Timestamp,
    cell: ids::CellId,
    work: work_key::WorkKey,
    foreign: &foreign_work::ForeignWork,
    ended: bool,
    context: &owner_context::OwnerContext,
) -> bool {
    let cancelled = foreign
        .cancelled_at
        .is_some_and(|at| at + VERIFY_AFTER > now);
    if cancelled || context.news.is_mentioned(now, work.request) {
        return false;
    }
    if entry_news::is_gone(now, &context.view, foreign.entry, foreign.first_seen) {
        return true;
    }
    let seen_long = foreign.first_seen + ORPHAN_GRACE <= now;
    let disowned = ended
        || context
            .news
            .has_listed_since(cell, foreign.entry, foreign.first_seen + ORPHAN_GRACE);
    seen_long && disowned || foreign.first_seen + SILENCE_SPAN <= now
}
