//! What a spreader is started with.

use crate::{centre_chooser, peer_chooser};

/// What a spreader is started with.
#[derive(bon::Builder)]
pub struct SpreaderConfig {
    /// This instance.
    pub own: ids::InstanceId,
    /// Seed of all randomness of the spreader.
    pub seed: u64,
    /// Peers that a new note is pushed to.
    #[builder(default = 4)]
    pub fanout: usize,
    /// How peers are chosen.
    #[builder(default = Box::new(centre_chooser::CentreChooser::default()))]
    pub chooser: Box<dyn peer_chooser::PeerChooser>,
}
