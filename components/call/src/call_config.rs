//! What a call keeper is started with.

use std::{sync, time};

use crate::{claim_policy, claim_quorum};

/// Time within which a repeat under the same key doesn't run the call again.
const KEY_RETENTION: time::Duration = time::Duration::from_secs(300);

/// Number of claims an instance holds; beyond it new keys are refused.
const CLAIM_LIMIT: usize = 200_000;

/// Calls of one service that wait at an instance.
const QUEUE_LIMIT: usize = 1_024;

/// What a call keeper is started with.
#[derive(Clone, bon::Builder)]
pub struct CallConfig {
    /// This instance.
    pub own: ids::InstanceId,
    /// Seed of all randomness of the keeper.
    pub seed: u64,
    /// Time within which a repeat under the same key doesn't run the call again.
    #[builder(default = KEY_RETENTION)]
    pub key_retention: time::Duration,
    /// Number of claims this instance holds for its own and its peers' calls.
    #[builder(default = CLAIM_LIMIT)]
    pub claim_limit: usize,
    /// Calls of one service that wait here.
    #[builder(default = QUEUE_LIMIT)]
    pub queue_limit: usize,
    /// How many witnesses a claim needs.
    #[builder(default = sync::Arc::new(claim_quorum::OverlapPolicy))]
    pub claim_policy: sync::Arc<dyn claim_policy::ClaimPolicy>,
}
