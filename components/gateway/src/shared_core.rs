//! Shares the relay core among the tasks of an instance.

use std::{collections, sync, time};

use tokio::sync::oneshot;

/// Shares the relay core among the tasks of an instance.
///
/// The lock is held for one decision at a time and never across an await point.
pub struct SharedCore {
    clock: sync::Arc<dyn clock::ClockSource>,
    core: sync::Mutex<relay::RelayCore>,
    waiting: sync::Mutex<
        collections::BTreeMap<relay::QueueTicket, oneshot::Sender<relay::PlacementOutcome>>,
    >,
    /// Wakes the task that sends state updates to the other instances.
    pub(crate) usage_changed: tokio::sync::Notify,
    /// Wakes the task that reads the platform's store.
    pub(crate) view_behind: tokio::sync::Notify,
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
            usage_changed: tokio::sync::Notify::new(),
            view_behind: tokio::sync::Notify::new(),
            queue_changed: tokio::sync::Notify::new(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> clock::Timestamp {
        self.clock.now()
    }

    /// Runs a decision on the locked core at the current time.
    pub fn decide<T>(
        &self,
        decision: impl FnOnce(&mut relay::RelayCore, clock::Timestamp) -> T,
    ) -> T {
        let now = self.now();
        decision(&mut lock(&self.core), now)
    }

    /// Runs a decision that may free capacity, then answers the waiting requests that were granted.
    pub fn decide_and_grant<T>(
        &self,
        decision: impl FnOnce(&mut relay::RelayCore, clock::Timestamp) -> T,
    ) -> T {
        let (result, answers) = self.decide(|core, now| {
            let result = decision(core, now);
            (result, core.grants(now))
        });
        self.deliver(answers);
        result
    }

    /// Requests a placement on a pair of engines and waits for the answer.
    ///
    /// Dropping the future removes the request from the wait queue.
    pub async fn request_placement(
        self: &sync::Arc<Self>,
        request: relay::StreamRequest,
    ) -> relay::PlacementOutcome {
        let answer = self.decide(|core, now| core.place(now, request));
        let relay::PlacementOutcome::Waiting(ticket) = answer else {
            self.usage_changed.notify_one();
            return answer;
        };
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting).insert(ticket, sender);
        let mut guard = WaitGuard {
            core: sync::Arc::clone(self),
            ticket,
            answered: false,
        };
        self.queue_changed.notify_one();
        self.usage_changed.notify_one();
        let answer = receiver.await;
        guard.answered = true;
        self.usage_changed.notify_one();
        answer.unwrap_or(relay::PlacementOutcome::Refused(relay::Refusal {
            reason: relay::RefusalReason::ShuttingDown,
            retry_after: time::Duration::from_millis(200),
        }))
    }

    /// Delivers answers to waiting requests; releases the placements of requests that are gone.
    fn deliver(&self, answers: Vec<(relay::QueueTicket, relay::PlacementOutcome)>) {
        for (ticket, answer) in answers {
            let sender = lock(&self.waiting).remove(&ticket);
            let undelivered = match sender {
                Some(sender) => sender.send(answer).err(),
                None => Some(answer),
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
        first_token: time::Duration::ZERO,
    }
}

/// Removes a request from the wait queue when its caller disconnects.
struct WaitGuard {
    core: sync::Arc<SharedCore>,
    ticket: relay::QueueTicket,
    answered: bool,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        lock(&self.core.waiting).remove(&self.ticket);
        self.core.usage_changed.notify_one();
        self.core
            .decide_and_grant(|core, _| core.cancel_waiting(self.ticket));
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
