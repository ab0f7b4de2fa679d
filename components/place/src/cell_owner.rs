//! The owner's part of placement.

use std::{collections::BTreeMap, sync, time};

use crate::{cell, input, message, output, place_ask, placement, refusal, refusal_reason};

/// Time a lease holds without news.
const LEASE_SPAN: time::Duration = time::Duration::from_secs(5);

/// Time after which a refused caller may ask again.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// Decides placements for the cells that this instance owns.
pub struct CellOwner {
    own: ids::InstanceId,
    state: sync::Arc<note::StateInForce>,
    view: sync::Arc<member::MemberView>,
    owned: BTreeMap<ids::CellId, cell::Cell>,
    granted: u64,
}

impl CellOwner {
    /// Makes an owner without cells.
    #[must_use]
    pub fn new(own: ids::InstanceId, _seed: u64) -> Self {
        Self {
            own,
            state: sync::Arc::default(),
            view: sync::Arc::default(),
            owned: BTreeMap::new(),
            granted: 0,
        }
    }

    /// Returns the cells that this instance owns.
    #[must_use]
    pub const fn owned(&self) -> &BTreeMap<ids::CellId, cell::Cell> {
        &self.owned
    }

    /// Returns when the owner wants to be woken.
    #[must_use]
    pub const fn next_wake(&self) -> clock::Moment {
        clock::Moment::MAX
    }

    /// Takes one input at `now` and appends what is to be done to `outputs`.
    pub fn handle(
        &mut self,
        _now: clock::Moment,
        input: input::Input,
        outputs: &mut Vec<output::Output>,
    ) {
        match input {
            input::Input::State(state) => {
                self.state = state;
                self.refresh_cells();
            }
            input::Input::View(view) => {
                self.view = view;
                self.refresh_cells();
            }
            input::Input::Message(from, message::Message::Ask(ask)) => {
                let answer = self.answer(&ask);
                outputs.push(output::Output::Send(from, answer));
            }
            _ => {}
        }
    }

    fn refresh_cells(&mut self) {
        self.owned = cell::cells(&self.state)
            .into_iter()
            .filter(|cell| cell::owner(cell, &self.view) == Some(self.own))
            .map(|cell| (cell.id, cell))
            .collect();
    }

    fn answer(&mut self, ask: &place_ask::PlaceAsk) -> message::Message {
        let Some(cell) = self.owned.get(&ask.cell) else {
            return refused(ask, refusal_reason::RefusalReason::NotOwner);
        };
        self.granted += 1;
        let engines: Vec<_> = cell
            .engines
            .iter()
            .filter_map(|name| self.state.engines.get(name))
            .collect();
        let pick = |unwanted: note::EngineRole| {
            let fitting: Vec<_> = engines
                .iter()
                .filter(|engine| engine.role != unwanted)
                .collect();
            let index = usize::try_from(self.granted).unwrap_or(0) % fitting.len().max(1);
            fitting.get(index).map(|engine| engine.name.clone())
        };
        let (Some(prefill), Some(decode)) = (
            pick(note::EngineRole::Decode),
            pick(note::EngineRole::Prefill),
        ) else {
            return refused(ask, refusal_reason::RefusalReason::NoEngine);
        };
        message::Message::Placed(
            placement::Placement::builder()
                .request(ask.request)
                .attempt(ask.attempt)
                .lease(ids::LeaseId {
                    owner: self.own,
                    term: 0,
                    sequence: self.granted,
                })
                .prefill(prefill)
                .decode(decode)
                .kv_pieces((ask.prompt_tokens + ask.max_tokens).div_ceil(note::KV_PIECE_TOKENS))
                .start_in(time::Duration::ZERO)
                .expires_in(LEASE_SPAN)
                .build(),
        )
    }
}

fn refused(ask: &place_ask::PlaceAsk, reason: refusal_reason::RefusalReason) -> message::Message {
    message::Message::Refused(refusal::Refusal {
        request: ask.request,
        attempt: ask.attempt,
        reason,
        retry_after: RETRY_AFTER,
    })
}
