//! What the demo does.

use std::time;

/// What the demo does.
#[derive(Clone, Debug, bon::Builder)]
pub struct DemoOptions {
    /// Seed of the plan.
    #[builder(default = 1)]
    pub seed: u64,
    /// Number of instances; faults need at least three.
    #[builder(default = 3)]
    pub instances: u64,
    /// Requests and calls to offer.
    #[builder(default = 240)]
    pub offered: usize,
    /// Time over which they arrive.
    #[builder(default = time::Duration::from_secs(12))]
    pub span: time::Duration,
    /// Whether an instance and an engine are killed.
    #[builder(default = true)]
    pub faults: bool,
}
