//! Holds a place at engines until a stream has left it.

use std::{sync, time};

use crate::{decision_event, gateway};

/// Holds a place at engines; a place that is dropped counts as abandoned.
pub(crate) struct PlaceGuard {
    gateway: sync::Arc<gateway::Gateway>,
    pub(crate) place: relay::StreamPlacement,
    id: String,
    sent_at: Option<clock::Timestamp>,
    first_token: Option<time::Duration>,
    ended: bool,
}

impl PlaceGuard {
    pub(crate) const fn new(
        gateway: sync::Arc<gateway::Gateway>,
        place: relay::StreamPlacement,
        id: String,
    ) -> Self {
        Self {
            gateway,
            place,
            id,
            sent_at: None,
            first_token: None,
            ended: false,
        }
    }

    /// Returns the name of the decode engine.
    pub(crate) fn decode_server(&self) -> ids::ServerName {
        self.place.decode.1.server.clone()
    }

    /// Tells what became of the prompt at the prefill engine.
    pub(crate) fn record_prefill_outcome(&self, outcome: relay::BackendOutcome) {
        let key = self.place.key;
        let ejected = self
            .gateway
            .port
            .decide_and_grant(|core, now| core.record_prefill_outcome(now, key, outcome));
        self.gateway.port.usage_changed.notify_one();
        if let Some((_, entry)) = self.place.prefill.as_ref().filter(|_| ejected) {
            self.gateway
                .log_ejection(entry.server.as_str(), &self.id, outcome);
        }
    }

    /// Moves the place to another decode engine; returns whether one has room.
    pub(crate) fn move_decode(&mut self, outcome: relay::BackendOutcome) -> bool {
        let key = self.place.key;
        let moved = self
            .gateway
            .port
            .decide_and_grant(|core, now| core.move_decode(now, key, outcome));
        self.gateway.port.usage_changed.notify_one();
        let is_moved = moved.is_some();
        if let Some(decode) = moved {
            self.place.decode = decode;
        }
        is_moved
    }

    /// Moves the place away from a decode engine that several instances have filled at once, before
    /// the request is sent there.
    pub(crate) fn rebalance_decode(&mut self) {
        let key = self.place.key;
        let moved = self
            .gateway
            .port
            .decide(|core, now| core.rebalance_decode(now, key));
        let Some(moved) = moved else { return };
        self.gateway.port.usage_changed.notify_one();
        self.gateway
            .log
            .write(&decision_event::DecisionEvent::Moved {
                id: &self.id,
                from: self.place.decode.1.server.as_str(),
                from_fill: moved.from_fill,
                to: moved.decode.1.server.as_str(),
                to_fill: moved.to_fill,
            });
        self.place.decode = moved.decode;
        self.place.fill = moved.to_fill;
    }

    /// Marks that the request was sent to the decode engine.
    pub(crate) fn sent(&mut self) {
        self.sent_at = Some(self.gateway.port.now());
    }

    /// Marks that the first token came.
    pub(crate) fn first_token(&mut self) {
        let now = self.gateway.port.now();
        self.first_token = self.sent_at.map(|sent_at| now.since(sent_at));
    }

    /// Frees the place.
    pub(crate) fn end(&mut self, outcome: relay::BackendOutcome) {
        if self.ended {
            return;
        }
        self.ended = true;
        let key = self.place.key;
        let end = relay::StreamCompletion {
            outcome,
            first_token: self.first_token.unwrap_or_default(),
        };
        let ejected = self
            .gateway
            .port
            .decide_and_grant(|core, now| core.release(now, key, end));
        self.gateway.port.usage_changed.notify_one();
        if ejected {
            let server = self.place.decode.1.server.as_str();
            self.gateway.log_ejection(server, &self.id, outcome);
        }
    }
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        self.end(relay::BackendOutcome::Abandoned);
    }
}
