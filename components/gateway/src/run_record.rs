//! Whether a request may have run.

use std::sync::atomic;

/// Counts the attempts by which a request may have run, at servers or at another instance.
#[derive(Debug, Default)]
pub(crate) struct RunRecord {
    runs: atomic::AtomicU32,
}

impl RunRecord {
    /// Records that the request is being sent to a server or to another instance, which may run it.
    pub(crate) fn begin(&self) {
        self.runs.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Records that the last attempt has proved not to have run the request.
    pub(crate) fn disprove(&self) {
        self.runs.fetch_sub(1, atomic::Ordering::Relaxed);
    }

    /// Returns whether an attempt may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.runs.load(atomic::Ordering::Relaxed) > 0
    }
}
