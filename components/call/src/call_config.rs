//! Configuration of the call manager.

use std::{sync, time};

use crate::{claim_policy, claim_quorum};

/// Time for which a retry under the same key does not run the call again.
const KEY_RETENTION: time::Duration = time::Duration::from_secs(300);

/// Largest number of claims that an instance holds; at this limit it refuses new keys.
const CLAIM_LIMIT: usize = 200_000;

/// Calls of one service that may be queued at an instance.
const QUEUE_LIMIT: usize = 1_024;

/// Configuration of the call manager.
#[derive(Clone, bon::Builder)]
pub struct CallConfig {
    /// This instance.
    pub own: ids::InstanceId,
    /// Seed of the manager's random number generator.
    pub seed: u64,
    /// Time for which a retry under the same key does not run the call again.
    #[builder(default = KEY_RETENTION)]
    pub key_retention: time::Duration,
    /// Largest number of claims that this instance holds, for its own calls and for those of its
    /// peers.
    #[builder(default = CLAIM_LIMIT)]
    pub claim_limit: usize,
    /// Calls of one service that may be queued at this instance.
    #[builder(default = QUEUE_LIMIT)]
    pub queue_limit: usize,
    /// Policy for the quorum of a claim.
    #[builder(default = sync::Arc::new(claim_quorum::OverlapPolicy))]
    pub claim_policy: sync::Arc<dyn claim_policy::ClaimPolicy>,
}
