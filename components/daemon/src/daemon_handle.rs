//! A running instance.

use std::{net, sync, sync::atomic, time};

use tokio::sync::{mpsc, oneshot};

use crate::{control_loop, instance_snapshot};

/// Time that callers' connections get to close after the last answer.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Time that the last messages to other instances get to leave.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// A running instance; dropping it kills it.
pub struct DaemonHandle {
    pub(crate) callers: net::SocketAddr,
    pub(crate) admin: net::SocketAddr,
    pub(crate) hub: sync::Arc<peer::PeerHub>,
    pub(crate) snapshot: sync::Arc<arc_swap::ArcSwap<instance_snapshot::InstanceSnapshot>>,
    pub(crate) ready: sync::Arc<atomic::AtomicBool>,
    pub(crate) commands: mpsc::UnboundedSender<control_loop::ControlCommand>,
    pub(crate) traffic: Option<tokio::runtime::Runtime>,
    pub(crate) entry_stop: Option<oneshot::Sender<()>>,
    pub(crate) entry_done: Option<tokio::task::JoinHandle<()>>,
    pub(crate) drain_bound: time::Duration,
}

impl DaemonHandle {
    /// Returns the address for callers.
    #[must_use]
    pub const fn callers(&self) -> net::SocketAddr {
        self.callers
    }

    /// Returns the address for operators.
    #[must_use]
    pub const fn admin(&self) -> net::SocketAddr {
        self.admin
    }

    /// Returns the address for other instances.
    #[must_use]
    pub fn peers(&self) -> net::SocketAddr {
        self.hub.address()
    }

    /// Returns whether the instance takes callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(atomic::Ordering::Acquire)
    }

    /// Returns what the instance shows of itself.
    #[must_use]
    pub fn snapshot(&self) -> sync::Arc<instance_snapshot::InstanceSnapshot> {
        self.snapshot.load_full()
    }

    /// Finishes everything in flight and ends the instance; returns whether all was finished.
    ///
    /// The bound on the time is a setting.
    pub async fn drain(mut self) -> bool {
        let (done, drained) = oneshot::channel();
        let command = control_loop::ControlCommand::Drain(self.drain_bound, done);
        if self.commands.send(command).is_err() {
            return false;
        }
        let is_idle = drained.await.unwrap_or(false);
        self.hub.flush(FLUSH_TIMEOUT).await;
        if let Some(stop) = self.entry_stop.take() {
            // The listener may have ended already.
            let _ = stop.send(());
        }
        if let Some(closing) = self.entry_done.take() {
            let closed = tokio::time::timeout(CLOSE_TIMEOUT, closing).await;
            tracing::info!(closed = closed.is_ok(), is_idle, "drain ended");
        }
        is_idle
    }

    /// Ends the instance at once, as a dying process would.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        // The control thread may have ended already.
        let _ = self.commands.send(control_loop::ControlCommand::Stop);
        if let Some(traffic) = self.traffic.take() {
            traffic.shutdown_background();
        }
    }
}

impl Drop for DaemonHandle {
    fn drop(&mut self) {
        self.end();
    }
}
