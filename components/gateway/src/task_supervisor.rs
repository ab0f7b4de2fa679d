//! Keeps the background tasks of an instance running.

use std::{sync, time};

use crate::{decision_event, decision_log};

/// Time between the end of a task and its restart, so that one that always fails doesn't use up the
/// processor.
const RESTART_DELAY: time::Duration = time::Duration::from_millis(50);

/// Keeps the background tasks of an instance running: one that panics is logged and started again.
pub struct TaskSupervisor {
    log: sync::Arc<decision_log::DecisionLog>,
}

impl TaskSupervisor {
    /// Creates a supervisor that logs failures of tasks to `log`.
    #[must_use]
    pub const fn new(log: sync::Arc<decision_log::DecisionLog>) -> Self {
        Self { log }
    }

    /// Runs the tasks that `start` returns, one after the other, until the process exits. Has to be
    /// called within a runtime.
    pub fn keep_running<T>(&self, name: &'static str, start: impl Fn() -> T + Send + 'static)
    where
        T: Future<Output = ()> + Send + 'static,
    {
        let log = sync::Arc::clone(&self.log);
        tokio::spawn(async move {
            loop {
                let ended = tokio::spawn(start()).await;
                let error = ended.err().map(|error| error.to_string());
                log.write(&decision_event::DecisionEvent::TaskEnded { task: name, error });
                tokio::time::sleep(RESTART_DELAY).await;
            }
        });
    }
}
