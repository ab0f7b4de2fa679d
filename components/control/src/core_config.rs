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
}
