//! A lease as its owner counts it.

use std::time;

use crate::{keys, lease_phase, work_key};

/// A lease as its owner counts it.
#[derive(Clone, Debug, bon::Builder)]
pub struct HeldLease {
    /// Name of the lease between the instances.
    pub id: ids::LeaseId,
    /// Work the lease serves.
    pub work: work_key::WorkKey,
    /// Instance that holds the lease.
    pub entry: ids::InstanceId,
    /// Class of the request.
    pub class: ids::ClassName,
    /// Engine that reads the prompt.
    pub prefill: keys::EngineKey,
    /// Engine that generates the answer.
    pub decode: keys::EngineKey,
    /// Pieces of engine memory held at the decode engine.
    pub kv_pieces: u32,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// How far the work has come.
    pub phase: lease_phase::LeasePhase,
    /// Tokens generated, by the last news.
    #[builder(default)]
    pub generated: u32,
    /// Time prefill starts.
    pub start_at: clock::Timestamp,
    /// Time prefill is expected to take.
    pub prefill_span: time::Duration,
    /// Time at which the entry last held the lease.
    pub heard_at: clock::Timestamp,
    /// Time of the last news of the work's progress.
    pub told_at: clock::Timestamp,
}

impl HeldLease {
    /// Returns whether prefill hasn't ended yet, by the last news.
    #[must_use]
    pub const fn is_reading(&self) -> bool {
        matches!(
            self.phase,
            lease_phase::LeasePhase::Granted | lease_phase::LeasePhase::Prefill
        )
    }

    /// Returns whether tokens are generated, by the last news.
    #[must_use]
    pub const fn is_decoding(&self) -> bool {
        matches!(self.phase, lease_phase::LeasePhase::Decode)
    }
}
