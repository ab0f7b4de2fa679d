//! What a spreader is started with.

use crate::{locality_selector, peer_selector};

/// What a spreader is started with.
#[derive(bon::Builder)]
pub struct ReplicatorConfig {
    /// This instance.
    pub own: ids::InstanceId,
    /// Seed of all randomness of the spreader.
    pub seed: u64,
    /// Peers that a new note is pushed to.
    #[builder(default = 4)]
    pub fanout: usize,
    /// How peers are chosen.
    #[builder(default = Box::new(locality_selector::LocalitySelector::default()))]
    pub selector: Box<dyn peer_selector::PeerSelector>,
}
