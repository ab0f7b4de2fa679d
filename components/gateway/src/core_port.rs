//! Shares the relay core among the tasks of an instance.

use std::{collections, sync, time};

use tokio::sync::oneshot;

/// Shares the relay core among the tasks of an instance.
///
/// The lock is held for one decision at a time and never across an await.
pub struct CorePort {
    clock: sync::Arc<dyn clock::ClockSource>,
    core: sync::Mutex<relay::RelayCore>,
    waiting: sync::Mutex<
        collections::BTreeMap<relay::QueueTicket, oneshot::Sender<relay::PlacementOutcome>>,
    >,
    /// Wakes the task that sends news.
    pub(crate) usage_changed: tokio::sync::Notify,
    /// Wakes the task that reads the platform.
    pub(crate) view_behind: tokio::sync::Notify,
    /// Wakes the task that refuses requests which have waited too long.
    pub(crate) line_changed: tokio::sync::Notify,
}

impl CorePort {
    /// Shares a core.
    #[must_use]
    pub fn new(core: relay::RelayCore, clock: sync::Arc<dyn clock::ClockSource>) -> Self {
        Self {
            clock,
            core: sync::Mutex::new(core),
            waiting: sync::Mutex::default(),
            usage_changed: tokio::sync::Notify::new(),
            view_behind: tokio::sync::Notify::new(),
            line_changed: tokio::sync::Notify::new(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> clock::Timestamp {
        self.clock.now()
    }

    /// Lets the core decide.
    pub fn decide<T>(
        &self,
        decision: impl FnOnce(&mut relay::RelayCore, clock::Timestamp) -> T,
    ) -> T {
        let now = self.now();
        decision(&mut lock(&self.core), now)
    }

    /// Lets the core decide something that may free places, and answers those who wait for them.
    pub fn decide_and_grant<T>(
        &self,
        decision: impl FnOnce(&mut relay::RelayCore, clock::Timestamp) -> T,
    ) -> T {
        let (result, answers) = self.decide(|core, now| {
            let result = decision(core, now);
            (result, core.poll_queue(now))
        });
        self.answer(answers);
        result
    }

    /// Asks for a place at a pair of engines and waits for the answer.
    pub async fn place(
        self: &sync::Arc<Self>,
        ask: relay::StreamRequest,
    ) -> relay::PlacementOutcome {
        let answer = self.decide(|core, now| core.place(now, ask));
        let relay::PlacementOutcome::Waiting(ticket) = answer else {
            self.usage_changed.notify_one();
            return answer;
        };
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting).insert(ticket, sender);
        let mut guard = WaitGuard {
            port: sync::Arc::clone(self),
            ticket,
            answered: false,
        };
        self.line_changed.notify_one();
        self.usage_changed.notify_one();
        let answer = receiver.await;
        guard.answered = true;
        self.usage_changed.notify_one();
        answer.unwrap_or(relay::PlacementOutcome::Refused(relay::Refusal {
            reason: relay::RefusalReason::ShuttingDown,
            retry_after: time::Duration::from_millis(200),
        }))
    }

    fn answer(&self, answers: Vec<(relay::QueueTicket, relay::PlacementOutcome)>) {
        for (ticket, answer) in answers {
            let sender = lock(&self.waiting).remove(&ticket);
            let unread = match sender {
                Some(sender) => sender.send(answer).err(),
                None => Some(answer),
            };
            if let Some(relay::PlacementOutcome::Placed(place)) = unread {
                self.decide(|core, now| core.release(now, place.key, abandoned()));
            }
        }
    }
}

/// Returns the end of a place that was never used.
const fn abandoned() -> relay::StreamCompletion {
    relay::StreamCompletion {
        outcome: relay::BackendOutcome::Abandoned,
        first_token: time::Duration::ZERO,
    }
}

/// Takes a request out of the line when its caller leaves.
struct WaitGuard {
    port: sync::Arc<CorePort>,
    ticket: relay::QueueTicket,
    answered: bool,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        lock(&self.port.waiting).remove(&self.ticket);
        self.port.usage_changed.notify_one();
        self.port
            .decide_and_grant(|core, _| core.cancel_waiting(self.ticket));
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
