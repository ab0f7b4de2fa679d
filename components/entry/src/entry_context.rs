//! What every handler uses.

use std::{sync, sync::atomic};

use crate::{control_port, load_gate, request_numbers, session_book};

/// What every handler uses.
#[derive(bon::Builder)]
pub struct EntryContext {
    /// The way to the control core.
    pub port: sync::Arc<dyn control_port::ControlPort>,
    /// The sessions under way.
    pub book: sync::Arc<session_book::SessionBook>,
    /// The state in force.
    pub state: sync::Arc<arc_swap::ArcSwap<note::StateInForce>>,
    /// Whether this instance may take callers.
    pub ready: sync::Arc<atomic::AtomicBool>,
    /// Bounds on what callers may send.
    pub limits: settings::RequestLimits,
    /// Header field that names the workspace of a request.
    pub workspace_header: String,
    /// Bounds on the requests in flight at once.
    pub gate: sync::Arc<load_gate::LoadGate>,
    /// Numbers for requests.
    pub numbers: request_numbers::RequestNumbers,
    /// The clock of the instance.
    pub clock: sync::Arc<dyn clock::ClockSource>,
}

impl EntryContext {
    /// Returns whether this instance may take callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(atomic::Ordering::Acquire)
    }
}
