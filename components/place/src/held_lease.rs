//! A lease in the state of its cell's owner.

use std::time;

use crate::{keys, lease_phase, work_key};

/// A lease in the state of its cell's owner.
#[derive(Clone, Debug, bon::Builder)]
pub struct HeldLease {
    /// Id of the lease, used in messages between instances.
    pub id: ids::LeaseId,
    /// Work that the lease covers.
    pub work: work_key::WorkKey,
    /// Entry instance that holds the lease.
    pub entry: ids::InstanceId,
    /// Class of the request.
    pub class: ids::ClassName,
    /// Engine that runs prefill.
    pub prefill: keys::EngineKey,
    /// Engine that runs decode.
    pub decode: keys::EngineKey,
    /// KV cache pieces held at the decode engine.
    pub kv_pieces: u32,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Phase of the work in the last update.
    pub phase: lease_phase::LeasePhase,
    /// Number of generated tokens according to the last update or running list.
    #[builder(default)]
    pub generated: u32,
    /// Planned start of prefill.
    pub start_at: clock::Timestamp,
    /// Expected duration of prefill.
    pub prefill_duration: time::Duration,
    /// Time at which the entry last confirmed the lease.
    pub confirmed_at: clock::Timestamp,
    /// Time of the last information on the work's progress.
    pub progress_at: clock::Timestamp,
}

impl HeldLease {
    /// Returns whether prefill has not ended, by the last update.
    #[must_use]
    pub const fn is_prefilling(&self) -> bool {
        matches!(
            self.phase,
            lease_phase::LeasePhase::Granted | lease_phase::LeasePhase::Prefill
        )
    }

    /// Returns whether the work is being decoded, by the last update.
    #[must_use]
    pub const fn is_decoding(&self) -> bool {
        matches!(self.phase, lease_phase::LeasePhase::Decode)
    }
}
