//! What the demo does.

use std::time;

/// What happens to the site while requests arrive.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ScriptKind {
    /// A release note is published.
    Calm,
    /// An instance and an engine are killed, a note is published and an instance is drained.
    #[default]
    Faults,
    /// A note is published and every instance is drained and replaced, one after the other.
    RollingRestart,
}

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
    /// What happens to the site meanwhile.
    #[builder(default)]
    pub script: ScriptKind,
}
