//! The thread that holds the control core.

use std::{sync, sync::atomic, time};

use tokio::sync::{mpsc, oneshot};

use crate::{action_runner, core_meter, instance_snapshot};

/// Events that are taken before time and commands are looked at again.
const EVENT_BATCH: usize = 64;

/// Time between two snapshots for operators.
const SNAPSHOT_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Shortest time between the request to drain and the end, in which others learn of it.
const DRAIN_LINGER: time::Duration = time::Duration::from_secs(1);

/// What the rest of the process asks of the control thread.
pub(crate) enum ControlCommand {
    /// Finish what is in flight; the sender is told whether everything was finished.
    Drain(time::Duration, oneshot::Sender<bool>),
    /// End at once.
    Stop,
}

/// A drain under way.
struct DrainWatch {
    earliest: clock::Timestamp,
    latest: clock::Timestamp,
    done: oneshot::Sender<bool>,
}

/// What the control thread shares with the rest of the process.
#[derive(Clone)]
pub(crate) struct ControlShares {
    pub(crate) clock: sync::Arc<dyn clock::ClockSource>,
    pub(crate) state: sync::Arc<arc_swap::ArcSwap<note::StateInForce>>,
    pub(crate) snapshot: sync::Arc<arc_swap::ArcSwap<instance_snapshot::InstanceSnapshot>>,
    pub(crate) ready: sync::Arc<atomic::AtomicBool>,
    pub(crate) book: sync::Arc<entry::SessionBook>,
}

/// Drives the control core.
pub(crate) struct ControlLoop {
    pub(crate) core: control::ControlCore,
    pub(crate) runner: action_runner::ActionRunner,
    pub(crate) shares: ControlShares,
    pub(crate) events: mpsc::UnboundedReceiver<control::Event>,
    pub(crate) messages: mpsc::Receiver<(ids::InstanceId, wire::PeerMessage)>,
    pub(crate) commands: mpsc::UnboundedReceiver<ControlCommand>,
    pub(crate) meter: core_meter::CoreMeter,
    pub(crate) progress: LoopProgress,
}

/// What the loop remembers between turns.
#[derive(Default)]
pub(crate) struct LoopProgress {
    drain: Option<DrainWatch>,
    snapshot: instance_snapshot::InstanceSnapshot,
    snapshot_due: clock::Timestamp,
    actions: Vec<control::Action>,
}

impl ControlLoop {
    /// Runs until the instance has drained or is stopped.
    pub(crate) async fn run(mut self) {
        loop {
            let now = self.shares.clock.now();
            let wake = self.core.next_wake().min(self.progress.snapshot_due);
            let pause = wake.since(now);
            tokio::select! {
                biased;
                command = self.commands.recv() => match command {
                    Some(ControlCommand::Drain(bound, done)) => self.begin_drain(bound, done),
                    Some(ControlCommand::Stop) | None => return,
                },
                Some(event) = self.events.recv() => self.take_events(event),
                Some((from, message)) = self.messages.recv() => {
                    self.take(control::Event::Peer(from, message));
                }
                () = tokio::time::sleep(pause), if pause > time::Duration::ZERO => {}
                () = std::future::ready(()), if pause.is_zero() => {}
            }
            if self.core.next_wake() <= self.shares.clock.now() {
                self.take(control::Event::Wake);
            }
            self.share();
            if self.is_drained() {
                return;
            }
        }
    }

    fn take_events(&mut self, first: control::Event) {
        self.take(first);
        for _ in 1..EVENT_BATCH {
            let Ok(event) = self.events.try_recv() else {
                return;
            };
            self.take(event);
        }
    }

    fn take(&mut self, event: control::Event) {
        let now = self.shares.clock.now();
        self.meter.take_event(now, &event);
        self.runner.notice(&event);
        let mut actions = std::mem::take(&mut self.progress.actions);
        self.core.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.meter.take_action(now, &action);
            self.note_change(&action);
            self.runner.run(now, action);
        }
        self.progress.actions = actions;
    }

    fn note_change(&mut self, action: &control::Action) {
        let snapshot = &mut self.progress.snapshot;
        match action {
            control::Action::InForce(state) => {
                tracing::info!(revision = %state.revision, "release note in force");
                self.shares.state.store(sync::Arc::clone(state));
                snapshot.digest = state.digest();
                snapshot.state = sync::Arc::clone(state);
            }
            control::Action::ViewChanged(view) => snapshot.view = sync::Arc::clone(view),
            control::Action::NoteRefused(revision, reason) => {
                snapshot.refused = Some((*revision, reason.clone()));
            }
            _ => {}
        }
    }

    fn share(&mut self) {
        let ready = self.core.is_ready();
        self.shares.ready.store(ready, atomic::Ordering::Release);
        let now = self.shares.clock.now();
        if now < self.progress.snapshot_due {
            return;
        }
        self.progress.snapshot_due = now + SNAPSHOT_INTERVAL;
        let snapshot = &mut self.progress.snapshot;
        snapshot.ready = ready;
        snapshot.draining = self.progress.drain.is_some();
        snapshot.in_flight = self.core.in_flight();
        snapshot.owned_cells = self.core.owned_cells().cloned().collect();
        let status = self.core.note_status(now);
        self.meter.refresh(&self.core, &status);
        snapshot.notes = Some(status);
        snapshot.orders = self.core.open_orders(now);
        snapshot.count_engines(self.core.owner());
        self.shares.snapshot.store(sync::Arc::new(snapshot.clone()));
    }

    fn begin_drain(&mut self, bound: time::Duration, done: oneshot::Sender<bool>) {
        let now = self.shares.clock.now();
        tracing::info!(in_flight = self.core.in_flight(), "drain began");
        self.take(control::Event::DrainStarted);
        self.progress.drain = Some(DrainWatch {
            earliest: now + DRAIN_LINGER.min(bound),
            latest: now + bound,
            done,
        });
    }

    fn is_drained(&mut self) -> bool {
        let now = self.shares.clock.now();
        let is_idle = self.core.in_flight() == 0 && self.shares.book.is_empty();
        let is_over = self
            .progress
            .drain
            .as_ref()
            .is_some_and(|drain| now >= drain.latest || (is_idle && now >= drain.earliest));
        if !is_over {
            return false;
        }
        if let Some(drain) = self.progress.drain.take() {
            // Whoever asked for the drain may have given up.
            let _ = drain.done.send(is_idle);
        }
        true
    }
}
