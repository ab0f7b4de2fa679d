//! Shares the relay core among the tasks of an instance.

mod planned_stop;

use std::{collections, sync};

use tokio::sync::{oneshot, watch};

use crate::{drain_tally, view_message};

/// View as sent to other instances, in the forms that they have asked for.
#[derive(Default)]
struct EncodedView {
    position: relay::ViewPosition,
    fingerprint: u64,
    kept: collections::BTreeSet<ids::ServerName>,
    forms: collections::BTreeMap<view_message::ViewForm, bytes::Bytes>,
}

/// Shares the relay core among the tasks of an instance.
///
/// The lock is held for one decision at a time and never across an await point.
pub struct SharedCore {
    clock: sync::Arc<dyn clock::ClockSource>,
    core: sync::Mutex<relay::RelayCore>,
    waiting: sync::Mutex<
        collections::BTreeMap<relay::QueueTicket, oneshot::Sender<relay::PlacementOutcome>>,
    >,
    /// Last view that was sent to another instance.
    encoded_view: sync::Mutex<EncodedView>,
    /// Times of the planned stop, once it has begun.
    drain_plan: watch::Sender<Option<relay::DrainPlan>>,
    drain_tally: drain_tally::DrainTally,
    /// Wakes the task that sends state updates to the other instances.
    pub(crate) state_changed: tokio::sync::Notify,
    /// Wakes the task that reads the platform's store.
    pub(crate) view_behind: tokio::sync::Notify,
    /// Wakes the task that asks engines about streams that no instance knows.
    pub(crate) stream_sought: tokio::sync::Notify,
    /// Wakes the task that refuses requests whose queue timeout has passed.
    pub(crate) queue_changed: tokio::sync::Notify,
}

impl SharedCore {
    /// Wraps a core for use by several tasks.
    #[must_use]
    pub fn new(core: relay::RelayCore, clock: sync::Arc<dyn clock::ClockSource>) -> Self {
        Self {
            clock,
            core: sync::Mutex::new(core),
            waiting: sync::Mutex::default(),
            encoded_view: sync::Mutex::default(),
            drain_plan: watch::Sender::new(None),
            drain_tally: drain_tally::DrainTally::default(),
            state_changed: tokio::sync::Notify::new(),
            view_behind: tokio::sync::Notify::new(),
            stream_sought: tokio::sync::Notify::new(),
            queue_changed: tokio::sync::Notify::new(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> clock::Timestamp {
        self.clock.now()
    }

    /// Returns the time of day in milliseconds since the Unix epoch.
    pub(crate) fn wall_millis(&self) -> u64 {
        self.clock.wall_millis()
    }

    /// Runs a decision on the locked core at the current time.
    pub fn decide<T>(
        &self,
        decision: impl FnOnce(&mut relay::RelayCore, clock::Timestamp) -> T,
    ) -> T {
        let now = self.now();
        decision(&mut lock(&self.core), now)
    }

    /// Returns the encoded view. Views are encoded once, since many instances copy the same one.
    ///
    /// # Errors
    ///
    /// Returns the codec's error when the view can't be encoded.
    pub(crate) fn encoded_view(
        &self,
        form: view_message::ViewForm,
    ) -> Result<bytes::Bytes, serde_json::Error> {
        let (view, fingerprint) = self.decide(|core, _| {
            let tracker = core.tracker();
            (tracker.view().clone(), tracker.fingerprint())
        });
        let mut encoded = lock(&self.encoded_view);
        let is_current = encoded.position == view.position
            && encoded.fingerprint == fingerprint
            && encoded.kept == view.kept;
        if !is_current {
            *encoded = EncodedView {
                position: view.position,
                fingerprint,
                kept: view.kept.clone(),
                ..EncodedView::default()
            };
        }
        if let Some(bytes) = encoded.forms.get(&form) {
            return Ok(bytes.clone());
        }
        let bytes = view_message::encode(view, form)?;
        encoded.forms.insert(form, bytes.clone());
        Ok(bytes)
    }

    /// Runs a decision that may free capacity, then answers the queued requests that can be placed
    /// or have to be refused.
    pub fn decide_and_poll_queue<T>(
        &self,
        decision: impl FnOnce(&mut relay::RelayCore, clock::Timestamp) -> T,
    ) -> T {
        let (result, outcomes) = self.decide(|core, now| {
            let result = decision(core, now);
            (result, core.poll_queue(now))
        });
        self.deliver(outcomes);
        result
    }

    /// Requests a placement on a pair of engines and waits for the outcome.
    ///
    /// Dropping the future removes the request from the wait queue.
    pub async fn request_placement(
        self: &sync::Arc<Self>,
        request: relay::StreamRequest,
    ) -> relay::PlacementOutcome {
        let outcome = self.decide(|core, now| core.place(now, request));
        let relay::PlacementOutcome::Waiting(ticket) = outcome else {
            self.state_changed.notify_one();
            return outcome;
        };
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting).insert(ticket, sender);
        let mut guard = TicketGuard {
            core: sync::Arc::clone(self),
            ticket,
            answered: false,
        };
        self.queue_changed.notify_one();
        self.state_changed.notify_one();
        let outcome = receiver.await;
        guard.answered = true;
        self.state_changed.notify_one();
        outcome.unwrap_or(relay::PlacementOutcome::Refused(relay::DRAIN_REFUSAL))
    }

    /// Delivers outcomes to waiting requests; releases the placements of requests whose callers
    /// have disconnected.
    fn deliver(&self, outcomes: Vec<(relay::QueueTicket, relay::PlacementOutcome)>) {
        for (ticket, outcome) in outcomes {
            let sender = lock(&self.waiting).remove(&ticket);
            let undelivered = match sender {
                Some(sender) => sender.send(outcome).err(),
                None => Some(outcome),
            };
            if let Some(relay::PlacementOutcome::Placed(placement)) = undelivered {
                self.decide(|core, now| core.release(now, placement.key, abandoned()));
            }
        }
    }
}

/// Returns the completion of a placement that was never used.
const fn abandoned() -> relay::StreamCompletion {
    relay::StreamCompletion {
        outcome: relay::BackendOutcome::Abandoned,
        first_token: std::time::Duration::ZERO,
    }
}

/// Removes a request from the wait queue when its caller disconnects.
struct TicketGuard {
    core: sync::Arc<SharedCore>,
    ticket: relay::QueueTicket,
    answered: bool,
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        lock(&self.core.waiting).remove(&self.ticket);
        self.core.state_changed.notify_one();
        self.core
            .decide_and_poll_queue(|core, _| core.cancel_waiting(self.ticket));
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
