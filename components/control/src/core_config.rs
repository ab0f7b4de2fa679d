//! What a control core is started with.

/// What a control core is started with.
#[derive(Clone, Debug, bon::Builder)]
pub struct CoreConfig {
    /// This instance.
    pub own: border::InstanceEntry,
    /// This process of the instance.
    pub incarnation: ids::Incarnation,
    /// Seed of all randomness of the core.
    pub seed: u64,
    /// How requests are placed in the cells that the instance owns.
    #[builder(default)]
    pub policy: place::PolicyKind,
    /// Time within which a repeat of a call under the same key doesn't run it again.
    pub key_retention: Option<std::time::Duration>,
}
