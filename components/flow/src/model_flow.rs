//! The state of one model request in flight.

use crate::{flow_spec, flow_stage};

/// A KV cache that a prefill engine retains.
#[derive(Clone, Debug)]
pub(crate) struct RetainedCache {
    /// Engine that retains the cache.
    pub(crate) engine: ids::ServerName,
    /// Attempt that computed the cache.
    pub(crate) attempt: ids::AttemptNumber,
    /// Handle and size of the cache.
    pub(crate) result: border::PrefillResult,
    /// Time at which the engine drops the cache.
    pub(crate) until: clock::Timestamp,
}

/// The state of one model request in flight.
#[derive(Clone, Debug)]
pub(crate) struct ModelFlow {
    /// Parameters of the request.
    pub(crate) spec: flow_spec::FlowSpec,
    /// Current stage.
    pub(crate) stage: flow_stage::FlowStage,
    /// Current attempt; incremented for every new placement.
    pub(crate) attempt: ids::AttemptNumber,
    /// Deadline of the first token.
    pub(crate) first_token_deadline: clock::Timestamp,
    /// Deadline for receiving a placement.
    pub(crate) placement_deadline: clock::Timestamp,
    /// Cell in which a placement is requested or was granted.
    pub(crate) cell: ids::CellId,
    /// Instance that receives the placement request or the lease updates.
    pub(crate) owner: ids::InstanceId,
    /// Whether a placement request has been sent and not yet answered.
    pub(crate) awaits_response: bool,
    /// Cells that refused the current attempt.
    pub(crate) refused_cells: Vec<ids::CellId>,
    /// Granted placement.
    pub(crate) placement: Option<place::Placement>,
    /// Address of the placed prefill engine, stored in case a release note removes the engine.
    pub(crate) source_address: Option<std::net::SocketAddr>,
    /// Time at which the lease expires unless it is extended.
    pub(crate) lease_until: clock::Timestamp,
    /// Prefill result that can still be imported.
    pub(crate) retained: Option<RetainedCache>,
    /// Number of tokens that the caller has received.
    pub(crate) delivered: u32,
    /// Number of times the stream was resumed since a token was last delivered.
    pub(crate) resume_count: u32,
    /// Whether prefill work of an earlier attempt was lost.
    pub(crate) is_retry: bool,
    /// Whether an engine may have received the request.
    pub(crate) was_sent: bool,
    /// Whether the lease was claimed again after a revocation.
    pub(crate) claimed_again: bool,
    /// Time of the request's next wake-up.
    pub(crate) wake_at: clock::Timestamp,
}

impl ModelFlow {
    /// Returns the engines that may hold memory for the request, with the attempt at each.
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
            flow_stage::FlowStage::Requesting
            | flow_stage::FlowStage::Waiting { .. }
            | flow_stage::FlowStage::Retargeting => {}
        }
        engines
    }

    /// Returns whether prefill has started in the current attempt.
    pub(crate) const fn has_started_prefill(&self) -> bool {
        !matches!(
            self.stage,
            flow_stage::FlowStage::Requesting | flow_stage::FlowStage::Waiting { .. }
        )
    }

    /// Returns the phase of the lease that corresponds to the stage.
    pub(crate) const fn phase(&self) -> place::LeasePhase {
        match self.stage {
            flow_stage::FlowStage::Requesting | flow_stage::FlowStage::Waiting { .. } => {
                place::LeasePhase::Granted
            }
            flow_stage::FlowStage::Prefilling => place::LeasePhase::Prefill,
            flow_stage::FlowStage::Importing | flow_stage::FlowStage::Retargeting => {
                place::LeasePhase::Transfer
            }
            flow_stage::FlowStage::Decoding => place::LeasePhase::Decode,
        }
    }

    /// Returns an update of the lease for its owner; `None` without a placement.
    pub(crate) fn lease_update(&self, phase: place::LeasePhase) -> Option<place::LeaseUpdate> {
        self.placement.as_ref().map(|placement| place::LeaseUpdate {
            lease: placement.lease,
            request: self.spec.request,
            phase,
            generated_tokens: self.delivered,
        })
    }

    /// Returns a claim of the lease for a new owner; `None` without a placement.
    pub(crate) fn lease_claim(&self) -> Option<place::LeaseClaim> {
        self.placement.as_ref().map(|placement| place::LeaseClaim {
            cell: self.cell,
            placement: placement.clone(),
            phase: self.phase(),
            prompt_tokens: self.spec.prompt_tokens,
            max_tokens: self.spec.max_tokens,
            generated_tokens: self.delivered,
        })
    }

    /// Returns the length of the prompt and the delivered output, in tokens.
    pub(crate) const fn context_tokens(&self) -> u32 {
        self.spec.prompt_tokens.saturating_add(self.delivered)
    }
}
