//! The size of a stand-in site.

use std::time;

/// The size of a stand-in site and the speed of its engines.
#[derive(Clone, Debug, bon::Builder)]
pub struct SiteFigures {
    /// Number of prefill engines.
    #[builder(default = 1)]
    pub prefill_engines: usize,
    /// Number of decode engines.
    #[builder(default = 1)]
    pub decode_engines: usize,
    /// Number of backend servers of the order service.
    #[builder(default = 1)]
    pub order_servers: usize,
    /// Prompt tokens that an engine reads in a second.
    #[builder(default = 40_000)]
    pub prefill_tokens_per_second: u32,
    /// Rate of an engine's link, in tokens a second.
    #[builder(default = 400_000)]
    pub link_tokens_per_second: u32,
    /// Time between two tokens when a batch is full, in milliseconds.
    #[builder(default = 20)]
    pub full_batch_token_ms: u32,
    /// Time that a backend server takes for a call.
    #[builder(default = time::Duration::from_millis(5))]
    pub call_latency: time::Duration,
    /// Time that a call may take, in milliseconds.
    #[builder(default = 2_000)]
    pub call_timeout_ms: u32,
}

impl Default for SiteFigures {
    fn default() -> Self {
        Self::builder().build()
    }
}
