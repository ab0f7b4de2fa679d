//! One model request under way.

use crate::{flow_spec, flow_stage};

/// A KV cache that a prefill engine retains.
#[derive(Clone, Debug)]
pub(crate) struct RetainedCache {
    /// Engine that retains it.
    pub(crate) engine: ids::ServerName,
    /// Attempt under which the engine knows it.
    pub(crate) attempt: ids::AttemptNumber,
    /// Name and size of the cache.
    pub(crate) result: border::PrefillResult,
    /// When the engine drops it.
    pub(crate) until: clock::Timestamp,
}

/// One model request under way.
#[derive(Clone, Debug)]
pub(crate) struct ModelFlow {
    /// What the caller asked for.
    pub(crate) spec: flow_spec::FlowSpec,
    /// How far the request has come.
    pub(crate) stage: flow_stage::FlowStage,
    /// Current attempt; grows with every new engine.
    pub(crate) attempt: ids::AttemptNumber,
    /// When the first token is due.
    pub(crate) first_due: clock::Timestamp,
    /// When waiting for a placement ends.
    pub(crate) ask_until: clock::Timestamp,
    /// Cell that is asked or that granted the lease.
    pub(crate) cell: ids::CellId,
    /// Instance that is asked or that is told of the lease.
    pub(crate) owner: ids::InstanceId,
    /// Whether the owner was asked and hasn't answered.
    pub(crate) asked: bool,
    /// Cells that refused the current ask.
    pub(crate) tried: Vec<ids::CellId>,
    /// What was granted.
    pub(crate) placement: Option<place::Placement>,
    /// Address of the placed prefill engine, kept should a note withdraw it.
    pub(crate) source: Option<std::net::SocketAddr>,
    /// When the lease expires unless it is updated.
    pub(crate) lease_until: clock::Timestamp,
    /// Prefill result that may still be imported.
    pub(crate) retained: Option<RetainedCache>,
    /// Tokens that the caller has received.
    pub(crate) delivered: u32,
    /// Resumptions of the stream since a token was last delivered.
    pub(crate) resumes: u32,
    /// Whether prefill was spent on an earlier attempt.
    pub(crate) repeated: bool,
    /// Whether an engine may have received the request.
    pub(crate) sent: bool,
    /// Whether the lease was claimed anew after a revocation.
    pub(crate) reclaimed: bool,
    /// When the table looks at this request again.
    pub(crate) wake_at: clock::Timestamp,
}

impl ModelFlow {
    /// Returns the attempts and engines that may hold memory for the request.
    pub(crate) fn engines(&self) -> Vec<(ids::ServerName, ids::AttemptNumber)> {
        let mut engines = Vec::new();
        if let Some(retained) = &self.retained {
            engines.push((retained.engine.clone(), retained.attempt));
        }
        let Some(placement) = &self.placement else {
            return engines;
        };
        match self.stage {
            flow_stage::FlowStage::Prefilling => {
                engines.push((placement.prefill.clone(), self.attempt));
            }
            flow_stage::FlowStage::Importing | flow_stage::FlowStage::Decoding => {
                engines.push((placement.decode.clone(), self.attempt));
            }
            flow_stage::FlowStage::Asking
            | flow_stage::FlowStage::Waiting { .. }
            | flow_stage::FlowStage::Retargeting => {}
        }
        engines
    }

    /// Returns whether prefill was spent on the current attempt.
    pub(crate) const fn has_prefilled(&self) -> bool {
        !matches!(
            self.stage,
            flow_stage::FlowStage::Asking | flow_stage::FlowStage::Waiting { .. }
        )
    }

    /// Returns the phase of the lease, as the owner counts it.
    pub(crate) const fn phase(&self) -> place::LeasePhase {
        match self.stage {
            flow_stage::FlowStage::Asking | flow_stage::FlowStage::Waiting { .. } => {
                place::LeasePhase::Granted
            }
            flow_stage::FlowStage::Prefilling => place::LeasePhase::Prefill,
            flow_stage::FlowStage::Importing | flow_stage::FlowStage::Retargeting => {
                place::LeasePhase::Transfer
            }
            flow_stage::FlowStage::Decoding => place::LeasePhase::Decode,
        }
    }

    /// Returns the news of the lease for its owner.
    pub(crate) fn update(&self, phase: place::LeasePhase) -> Option<place::LeaseUpdate> {
        self.placement.as_ref().map(|placement| place::LeaseUpdate {
            lease: placement.lease,
            request: self.spec.request,
            phase,
            generated_tokens: self.delivered,
        })
    }

    /// Returns the claim of the lease for a new owner.
    pub(crate) fn claim(&self) -> Option<place::LeaseClaim> {
        self.placement.as_ref().map(|placement| place::LeaseClaim {
            cell: self.cell,
            placement: placement.clone(),
            phase: self.phase(),
            prompt_tokens: self.spec.prompt_tokens,
            max_tokens: self.spec.max_tokens,
            generated_tokens: self.delivered,
        })
    }

    /// Returns the length of the prompt with what was delivered, in tokens.
    pub(crate) const fn context_tokens(&self) -> u32 {
        self.spec.prompt_tokens.saturating_add(self.delivered)
    }
}
