//! Configuration of a control core.

/// Configuration of a control core.
#[derive(Clone, Debug, bon::Builder)]
pub struct CoreConfig {
    /// Entry of this instance, as in the platform's list.
    pub own: border::InstanceEntry,
    /// Incarnation of this process.
    pub incarnation: ids::Incarnation,
    /// Seed of all random number generators of the core.
    pub seed: u64,
    /// Placement policy of the cells that this instance owns.
    #[builder(default)]
    pub policy: place::PolicyKind,
    /// Time for which a retry with the same idempotency key doesn't run the call again; `None`
    /// selects the default of [`call::CallConfig`].
    pub key_retention: Option<std::time::Duration>,
}
