//! Configuration of the release note replicator.

use crate::{centre_chooser, peer_chooser};

/// Configuration of the release note replicator.
#[derive(bon::Builder)]
pub struct SpreaderConfig {
    /// Id of this instance.
    pub own: ids::InstanceId,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of peers that a new note is pushed to.
    #[builder(default = 4)]
    pub fanout: usize,
    /// Peer selection.
    #[builder(default = Box::new(centre_chooser::CentreChooser::default()))]
    pub chooser: Box<dyn peer_chooser::PeerChooser>,
}
