//! Time limits of the work at engines, by phase.

use std::time;

/// Time limits of the work at engines, by phase; a silent connection is given up after them.
#[derive(Clone, Copy, Debug, bon::Builder)]
pub struct EngineTimeouts {
    /// Time a prefill may take, its queue included.
    #[builder(default = time::Duration::from_secs(10))]
    pub prefill: time::Duration,
    /// Time a transfer of a KV cache may take.
    #[builder(default = time::Duration::from_secs(2))]
    pub transfer: time::Duration,
    /// Time without a token after which a stream counts as silent.
    #[builder(default = time::Duration::from_secs(1))]
    pub token_gap: time::Duration,
    /// Time that reports, orders and cancellations may take.
    #[builder(default = time::Duration::from_secs(2))]
    pub report: time::Duration,
}

impl Default for EngineTimeouts {
    fn default() -> Self {
        Self::builder().build()
    }
}
