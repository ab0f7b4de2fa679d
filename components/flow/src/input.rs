//! What a flow table takes.

use std::sync;

use crate::flow_spec;

/// What a flow table takes.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller's request arrived.
    Arrived(flow_spec::FlowSpec),
    /// A cell owner sent a message; this instance may be the owner.
    Place(ids::InstanceId, place::Message),
    /// A prefill ended.
    Prefilled(
        ids::RequestId,
        ids::AttemptNumber,
        Result<border::PrefillResult, border::BorderError>,
    ),
    /// A transfer ended.
    Imported(
        ids::RequestId,
        ids::AttemptNumber,
        Result<(), border::BorderError>,
    ),
    /// The caller has received all tokens below this offset.
    Delivered(ids::RequestId, ids::AttemptNumber, u32),
    /// A stream of tokens ended; the caller has received all tokens below the offset.
    DecodeEnded(
        ids::RequestId,
        ids::AttemptNumber,
        u32,
        Result<border::FinishReason, border::BorderError>,
    ),
    /// The caller closed its connection.
    CallerGone(ids::RequestId),
    /// A state has come into force.
    State(sync::Arc<note::StateInForce>),
    /// The membership has changed.
    View(sync::Arc<member::MemberView>),
    /// This instance begins to drain.
    DrainBegan,
    /// The requested time has come.
    Wake,
}
