//! The next step at an engine.

use std::time;

use rand::Rng as _;

use crate::{engine_plan, engine_track, fencing_number, order_gate, output};

/// Time between two readings of an engine that is as it should be.
const SETTLED_INTERVAL: time::Duration = time::Duration::from_secs(15);

/// Age up to which a status may be acted on.
const STATUS_SPAN: time::Duration = time::Duration::from_millis(500);

/// Time within which the first byte of an order must leave.
const ORDER_WINDOW: time::Duration = time::Duration::from_millis(200);

/// Longest time for which an engine is drained before it takes work again.
const DRAIN_LIMIT: time::Duration = time::Duration::from_secs(120);

impl super::OrderReconciler {
    /// Does the next step at an engine, if there is one and it is allowed.
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
            engine_plan::PlanStep::Settled => self.settle(now, engine, outputs),
            engine_plan::PlanStep::Order(action) => {
                self.order(now, engine, action, fencing, outputs);
            }
            engine_plan::PlanStep::OrderDrained(action) => {
                self.order_drained(now, engine, action, fencing, outputs);
            }
        }
    }

    pub(super) fn step(
        &self,
        now: clock::Timestamp,
        engine: &ids::ServerName,
    ) -> Option<(engine_plan::PlanStep, note::FencingSupport)> {
        let track = self.tracks.get(engine)?;
        let entry = self.state.engines.get(engine)?;
        let status = track.status_since(now.before(STATUS_SPAN))?;
        if track.open.is_some() || now < track.rest_until {
            return None;
        }
        let role = match entry.role {
            note::EngineRole::Flexible => track.wanted_role.unwrap_or(status.role),
            role => role,
        };
        let step = engine_plan::next_step(&self.state, entry, role, status);
        Some((step, entry.fencing))
    }

    pub(super) fn settle(
        &mut self,
        now: clock::Timestamp,
        engine: &ids::ServerName,
        outputs: &mut Vec<output::Output>,
    ) {
        if let Some(track) = self.tracks.get_mut(engine) {
            track.read_at = now + SETTLED_INTERVAL;
            track.wanted_role = None;
            if track.drained_since.take().is_some() {
                outputs.push(output::Output::Drain(engine.clone(), false));
            }
        }
    }

    /// Gives an order to an engine without requests; starts or ends its drain as needed.
    pub(super) fn order_drained(
        &mut self,
        now: clock::Timestamp,
        engine: &ids::ServerName,
        action: border::OrderAction,
        fencing: note::FencingSupport,
        outputs: &mut Vec<output::Output>,
    ) {
        let may_begin = self.may_order(now, engine, fencing) && self.may_drain(engine);
        let Some(track) = self.tracks.get_mut(engine) else {
            return;
        };
        match track.drained_since {
            None if may_begin => {
                track.drained_since = Some(now);
                track.read_at = now + super::OPEN_INTERVAL;
                outputs.push(output::Output::Drain(engine.clone(), true));
            }
            None => {}
            Some(since) if now.since(since) >= DRAIN_LIMIT => {
                track.drained_since = None;
                track.wanted_role = None;
                track.rest_until = now + super::REFUSAL_REST;
                outputs.push(output::Output::Drain(engine.clone(), false));
            }
            Some(_) if track.is_empty_since_drain() => {
                self.order(now, engine, action, fencing, outputs);
            }
            Some(_) => {}
        }
    }

    pub(super) fn order(
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
        if !self.may_order(now, engine, fencing) || (is_load && !self.budget.take(now)) {
            return;
        }
        let incarnation = self.own_incarnation();
        let Some(track) = self.tracks.get_mut(engine) else {
            return;
        };
        let seen = track.status.as_ref().and_then(|(_, status)| status.fence);
        let fence = fencing_number::FencingNumber::following(
            seen,
            self.state.revision,
            self.own,
            incarnation,
        );
        let number = self.rng.next_u64();
        track.open = Some(engine_track::OpenOrder {
            number,
            action: action.clone(),
            sent_at: now,
        });
        track.read_at = now + super::OPEN_INTERVAL;
        let order = border::EngineOrder {
            order: number,
            fence: fence.to_bits(),
            action,
        };
        outputs.push(output::Output::Order(engine.clone(), order, ORDER_WINDOW));
    }

    pub(super) fn may_order(
        &self,
        now: clock::Timestamp,
        engine: &ids::ServerName,
        fencing: note::FencingSupport,
    ) -> bool {
        let has_held = self
            .tracks
            .get(engine)
            .is_some_and(|track| now.since(track.owned_since) >= order_gate::hold_off(fencing));
        has_held && order_gate::allows_orders(&self.view)
    }

    /// Returns whether no other engine of the cell is drained.
    pub(super) fn may_drain(&self, engine: &ids::ServerName) -> bool {
        let Some(track) = self.tracks.get(engine) else {
            return false;
        };
        !self.tracks.iter().any(|(name, other)| {
            name != engine && other.cell == track.cell && other.drained_since.is_some()
        })
    }

    fn own_incarnation(&self) -> ids::Incarnation {
        self.view
            .members
            .get(&self.own)
            .map_or_else(ids::Incarnation::default, |member| member.incarnation)
    }
}
