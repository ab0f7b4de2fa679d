//! Releases the placement of a stream when the stream completes.

use std::{sync, time};

use crate::{decision_event, gateway};

/// Holds the placement of a stream on its engines; dropping the guard releases the placement as
/// abandoned.
pub(crate) struct PlacementGuard {
    gateway: sync::Arc<gateway::Gateway>,
    pub(crate) placement: relay::StreamPlacement,
    id: String,
    sent_at: Option<clock::Timestamp>,
    first_token: Option<time::Duration>,
    released: bool,
}

impl PlacementGuard {
    pub(crate) const fn new(
        gateway: sync::Arc<gateway::Gateway>,
        placement: relay::StreamPlacement,
        id: String,
    ) -> Self {
        Self {
            gateway,
            placement,
            id,
            sent_at: None,
            first_token: None,
            released: false,
        }
    }

    /// Returns the name of the decode engine.
    pub(crate) fn decode_server(&self) -> ids::ServerName {
        self.placement.decode.1.server.clone()
    }

    /// Reports the outcome of the prefill.
    pub(crate) fn record_prefill_outcome(&self, outcome: relay::BackendOutcome) {
        let key = self.placement.key;
        let ejected = self
            .gateway
            .core
            .decide_and_poll_queue(|core, now| core.record_prefill_outcome(now, key, outcome));
        self.gateway.core.state_changed.notify_one();
        if let Some((_, entry)) = self.placement.prefill.as_ref().filter(|_| ejected) {
            self.gateway
                .log_ejection(entry.server.as_str(), &self.id, outcome);
        }
    }

    /// Moves the placement to another decode engine; returns whether one has free capacity.
    pub(crate) fn move_decode(&mut self, outcome: relay::BackendOutcome) -> bool {
        let key = self.placement.key;
        let moved = self
            .gateway
            .core
            .decide_and_poll_queue(|core, now| core.move_decode(now, key, outcome));
        self.gateway.core.state_changed.notify_one();
        let is_moved = moved.is_some();
        if let Some(decode) = moved {
            self.placement.decode = decode;
        }
        is_moved
    }

    /// Moves the placement away from a decode engine that several instances have filled at the same
    /// time; called before the request is sent to the engine.
    pub(crate) fn rebalance_decode(&mut self) {
        let key = self.placement.key;
        let moved = self
            .gateway
            .core
            .decide(|core, now| core.rebalance_decode(now, key));
        let Some(moved) = moved else { return };
        self.gateway.core.state_changed.notify_one();
        self.gateway
            .log
            .write(&decision_event::DecisionEvent::Moved {
                id: &self.id,
                from: self.placement.decode.1.server.as_str(),
                from_fill: moved.from_fill,
                to: moved.decode.1.server.as_str(),
                to_fill: moved.to_fill,
            });
        self.placement.decode = moved.decode;
        self.placement.fill = moved.to_fill;
    }

    /// Records the time at which the request is sent to the decode engine.
    pub(crate) fn mark_sent(&mut self) {
        self.sent_at = Some(self.gateway.core.now());
    }

    /// Returns the time at which the request was last sent to the decode engine, if it was.
    pub(crate) const fn sent_at(&self) -> Option<clock::Timestamp> {
        self.sent_at
    }

    /// Records the time to the first token.
    pub(crate) fn mark_first_token(&mut self) {
        let now = self.gateway.core.now();
        self.first_token = self.sent_at.map(|sent_at| now.since(sent_at));
    }

    /// Releases the placement, unless it is already released.
    pub(crate) fn release(&mut self, outcome: relay::BackendOutcome) {
        if self.released {
            return;
        }
        self.released = true;
        let key = self.placement.key;
        let completion = relay::StreamCompletion {
            outcome,
            first_token: self.first_token.unwrap_or_default(),
        };
        let ejected = self
            .gateway
            .core
            .decide_and_poll_queue(|core, now| core.release(now, key, completion));
        self.gateway.core.state_changed.notify_one();
        if ejected {
            let server = self.placement.decode.1.server.as_str();
            self.gateway.log_ejection(server, &self.id, outcome);
        }
    }
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        self.release(relay::BackendOutcome::Abandoned);
    }
}
