//! Configuration of the release note replicator.

use crate::{locality_selector, peer_selector};

/// Configuration of the release note replicator.
#[derive(bon::Builder)]
pub struct ReplicatorConfig {
    /// Id of this instance.
    pub own: ids::InstanceId,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of peers that a new note is pushed to.
    #[builder(default = 4)]
    pub fanout: usize,
    /// Strategy that selects the peers for pushes and comparisons.
    #[builder(default = Box::new(locality_selector::LocalitySelector::default()))]
    pub selector: Box<dyn peer_selector::PeerSelector>,
}
