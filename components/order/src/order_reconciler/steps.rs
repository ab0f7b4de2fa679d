//! Execution of the next step at an engine.

use std::time;

use rand::Rng as _;

use crate::{engine_plan, engine_record, fencing_number, order_gate, output};

/// Interval of status reads of an engine in the desired state.
const CONVERGED_POLL_INTERVAL: time::Duration = time::Duration::from_secs(15);

/// Largest age of a status from which an order may be derived.
const STATUS_MAX_AGE: time::Duration = time::Duration::from_millis(500);

/// Time within which the first byte of an order must be sent.
const ORDER_START_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Time after which the drain of an engine that still serves requests is stopped.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(120);

impl super::OrderReconciler {
    /// Executes the next step at an engine, if the step is permitted.
    pub(super) fn advance(
        &mut self,
        now: clock::Timestamp,
        engine: &ids::ServerName,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some((step, fencing)) = self.step(now, engine) else {
            return;
        };
        match step {
            engine_plan::PlanStep::Converged => self.handle_converged(now, engine, outputs),
            engine_plan::PlanStep::Order(action) => {
                self.send_order(now, engine, action, fencing, outputs);
            }
            engine_plan::PlanStep::OrderAfterDrain(action) => {
                self.send_order_when_drained(now, engine, action, fencing, outputs);
            }
        }
    }

    /// Returns the next step at an engine, with its fencing support.
    ///
    /// Returns `None` without a recent status, with an open order and during the backoff.
    pub(super) fn step(
        &self,
        now: clock::Timestamp,
        engine: &ids::ServerName,
    ) -> Option<(engine_plan::PlanStep, note::FencingSupport)> {
        let record = self.records.get(engine)?;
        let entry = self.state.engines.get(engine)?;
        let status = record.status_since(now.before(STATUS_MAX_AGE))?;
        if record.open.is_some() || now < record.backoff_until {
            return None;
        }
        let role = match entry.role {
            note::EngineRole::Flexible => record.target_role.unwrap_or(status.role),
            role => role,
        };
        let step = engine_plan::next_step(&self.state, entry, role, status);
        Some((step, entry.fencing))
    }

    /// Ends the drain of an engine in the desired state and schedules its next status read.
    pub(super) fn handle_converged(
        &mut self,
        now: clock::Timestamp,
        engine: &ids::ServerName,
        outputs: &mut Vec<output::Output>,
    ) {
        if let Some(record) = self.records.get_mut(engine) {
            record.next_poll = now + CONVERGED_POLL_INTERVAL;
            record.target_role = None;
            if record.draining_since.take().is_some() {
                outputs.push(output::Output::Drain(engine.clone(), false));
            }
        }
    }

    /// Sends an order to an engine once it is drained; starts the drain, or stops it after a
    /// timeout.
    pub(super) fn send_order_when_drained(
        &mut self,
        now: clock::Timestamp,
        engine: &ids::ServerName,
        action: border::OrderAction,
        fencing: note::FencingSupport,
        outputs: &mut Vec<output::Output>,
    ) {
        let may_start_drain = self.may_order(now, engine, fencing) && self.may_drain(engine);
        let Some(record) = self.records.get_mut(engine) else {
            return;
        };
        match record.draining_since {
            None if may_start_drain => {
                record.draining_since = Some(now);
                record.next_poll = now + super::PENDING_POLL_INTERVAL;
                outputs.push(output::Output::Drain(engine.clone(), true));
            }
            None => {}
            Some(since) if now.since(since) >= DRAIN_TIMEOUT => {
                record.draining_since = None;
                record.target_role = None;
                record.backoff_until = now + super::ORDER_BACKOFF;
                outputs.push(output::Output::Drain(engine.clone(), false));
            }
            Some(_) if record.is_drained() => {
                self.send_order(now, engine, action, fencing, outputs);
            }
            Some(_) => {}
        }
    }

    /// Sends an order, if the hold-off, the membership view and the load budget permit it.
    pub(super) fn send_order(
        &mut self,
        now: clock::Timestamp,
        engine: &ids::ServerName,
        action: border::OrderAction,
        fencing: note::FencingSupport,
        outputs: &mut Vec<output::Output>,
    ) {
        let is_load = matches!(
            action,
            border::OrderAction::LoadModel(..) | border::OrderAction::LoadAdapter(..)
        );
        if !self.may_order(now, engine, fencing) || (is_load && !self.budget.spend(now)) {
            return;
        }
        let incarnation = self.own_incarnation();
        let Some(record) = self.records.get_mut(engine) else {
            return;
        };
        let received = record.status.as_ref().and_then(|(_, status)| status.fence);
        let fence = fencing_number::FencingNumber::following(
            received,
            self.state.revision,
            self.own,
            incarnation,
        );
        let number = self.rng.next_u64();
        record.open = Some(engine_record::OpenOrder {
            number,
            action: action.clone(),
            sent_at: now,
        });
        record.next_poll = now + super::PENDING_POLL_INTERVAL;
        let order = border::EngineOrder {
            order: number,
            fence: fence.to_bits(),
            action,
        };
        outputs.push(output::Output::Order(
            engine.clone(),
            order,
            ORDER_START_TIMEOUT,
        ));
    }

    /// Returns whether the hold-off of an engine has passed and the membership view permits orders.
    pub(super) fn may_order(
        &self,
        now: clock::Timestamp,
        engine: &ids::ServerName,
        fencing: note::FencingSupport,
    ) -> bool {
        let is_hold_off_over = self
            .records
            .get(engine)
            .is_some_and(|record| now.since(record.owned_since) >= order_gate::hold_off(fencing));
        is_hold_off_over && order_gate::allows_orders(&self.view)
    }

    /// Returns whether no other engine of the cell is draining.
    pub(super) fn may_drain(&self, engine: &ids::ServerName) -> bool {
        let Some(record) = self.records.get(engine) else {
            return false;
        };
        !self.records.iter().any(|(name, other)| {
            name != engine && other.cell == record.cell && other.draining_since.is_some()
        })
    }

    fn own_incarnation(&self) -> ids::Incarnation {
        self.view
            .members
            .get(&self.own)
            .map_or_else(ids::Incarnation::default, |member| member.incarnation)
    }
}
