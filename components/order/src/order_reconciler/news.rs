//! What engines report and answer.

use std::time;

use crate::{engine_track, output};

/// Time after which an order that the status doesn't show is given again.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(60);

impl super::OrderReconciler {
    pub(super) fn take_busy(
        &mut self,
        now: clock::Timestamp,
        engine: &ids::ServerName,
        count: u32,
        outputs: &mut Vec<output::Output>,
    ) {
        if let Some(track) = self.tracks.get_mut(engine) {
            track.busy = Some((now, count));
            self.advance(now, engine, outputs);
        }
    }

    pub(super) fn take_status(
        &mut self,
        now: clock::Timestamp,
        engine: &ids::ServerName,
        status: Option<border::EngineStatus>,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(track) = self.tracks.get_mut(engine) else {
            return;
        };
        let Some(status) = status else {
            return;
        };
        let is_shown = track.open.as_ref().is_some_and(|open| shows(&status, open));
        let is_old = track
            .open
            .as_ref()
            .is_some_and(|open| now.since(open.sent_at) >= ORDER_TIMEOUT);
        if is_shown || is_old {
            track.open = None;
        }
        track.status = Some((now, status));
        self.advance(now, engine, outputs);
    }

    pub(super) fn take_answer(
        &mut self,
        now: clock::Timestamp,
        engine: &ids::ServerName,
        number: u64,
        answer: Option<border::OrderAnswer>,
    ) {
        let Some(track) = self.tracks.get_mut(engine) else {
            return;
        };
        let is_open = track
            .open
            .as_ref()
            .is_some_and(|open| open.number == number);
        if !is_open {
            return;
        }
        // Only the status tells what an engine did; a lost answer says as little as no answer.
        track.read_at = now;
        track.status = None;
        match answer {
            Some(border::OrderAnswer::Fenced | border::OrderAnswer::Refused) => {
                track.open = None;
                track.rest_until = now + super::REFUSAL_REST;
            }
            Some(border::OrderAnswer::Done | border::OrderAnswer::Accepted) | None => {}
        }
    }
}

/// Returns whether a status shows that an order was carried out.
fn shows(status: &border::EngineStatus, open: &engine_track::OpenOrder) -> bool {
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
