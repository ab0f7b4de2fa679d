//! Status reports of engines and their answers to orders.

use std::time;

use crate::{engine_record, output};

/// Time after which an order not confirmed by the engine's status may be sent again.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(60);

impl super::OrderReconciler {
    /// Records the number of requests that an engine serves and executes the next step.
    pub(super) fn handle_running_count(
        &mut self,
        now: clock::Timestamp,
        engine: &ids::ServerName,
        count: u32,
        outputs: &mut Vec<output::Output>,
    ) {
        if let Some(record) = self.records.get_mut(engine) {
            record.running = Some((now, count));
            self.advance(now, engine, outputs);
        }
    }

    /// Records the status of an engine and executes the next step.
    ///
    /// The open order is closed when the status confirms it or its timeout has passed.
    pub(super) fn handle_status(
        &mut self,
        now: clock::Timestamp,
        engine: &ids::ServerName,
        status: Option<border::EngineStatus>,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(record) = self.records.get_mut(engine) else {
            return;
        };
        let Some(status) = status else {
            return;
        };
        let is_confirmed = record
            .open
            .as_ref()
            .is_some_and(|open| confirms(&status, open));
        let is_timed_out = record
            .open
            .as_ref()
            .is_some_and(|open| now.since(open.sent_at) >= ORDER_TIMEOUT);
        if is_confirmed || is_timed_out {
            record.open = None;
        }
        record.status = Some((now, status));
        self.advance(now, engine, outputs);
    }

    /// Handles an answer to the open order and schedules an immediate status read.
    ///
    /// A refusal closes the order and starts the backoff.
    pub(super) fn handle_answer(
        &mut self,
        now: clock::Timestamp,
        engine: &ids::ServerName,
        number: u64,
        answer: Option<border::OrderAnswer>,
    ) {
        let Some(record) = self.records.get_mut(engine) else {
            return;
        };
        let is_open = record
            .open
            .as_ref()
            .is_some_and(|open| open.number == number);
        if !is_open {
            return;
        }
        // Only the engine's status shows whether the order was executed, since an answer may be
        // lost.
        record.next_poll = now;
        record.status = None;
        match answer {
            Some(border::OrderAnswer::Fenced | border::OrderAnswer::Refused) => {
                record.open = None;
                record.backoff_until = now + super::ORDER_BACKOFF;
            }
            Some(border::OrderAnswer::Done | border::OrderAnswer::Accepted) | None => {}
        }
    }
}

/// Returns whether a status shows that an order was executed.
fn confirms(status: &border::EngineStatus, open: &engine_record::OpenOrder) -> bool {
    if status.last_order == Some(open.number) {
        return true;
    }
    match &open.action {
        border::OrderAction::LoadModel(model, version) => {
            status.loaded.contains(&(model.clone(), version.clone()))
        }
        border::OrderAction::UnloadModel(model, version) => {
            !status.loaded.contains(&(model.clone(), version.clone()))
        }
        border::OrderAction::LoadAdapter(_, adapter) => status.adapters.contains(adapter),
        border::OrderAction::UnloadAdapter(_, adapter) => !status.adapters.contains(adapter),
        border::OrderAction::TakeRole(role) => status.role == *role,
    }
}
