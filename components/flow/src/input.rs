//! Inputs of a flow table.

use std::sync;

use crate::flow_spec;

/// An input of a flow table.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller's request arrived.
    Arrived(flow_spec::FlowSpec),
    /// A cell owner, possibly this instance, sent a message.
    Place(ids::InstanceId, place::Message),
    /// A prefill completed or failed.
    Prefilled(
        ids::RequestId,
        ids::AttemptNumber,
        Result<border::PrefillResult, border::BorderError>,
    ),
    /// A transfer completed or failed.
    Imported(
        ids::RequestId,
        ids::AttemptNumber,
        Result<(), border::BorderError>,
    ),
    /// The caller has received all tokens below this offset.
    Delivered(ids::RequestId, ids::AttemptNumber, u32),
    /// A token stream completed or failed; the caller has received all tokens below the offset.
    DecodeEnded(
        ids::RequestId,
        ids::AttemptNumber,
        u32,
        Result<border::FinishReason, border::BorderError>,
    ),
    /// The caller closed its connection.
    CallerGone(ids::RequestId),
    /// A new state is in force.
    State(sync::Arc<note::StateInForce>),
    /// The membership view has changed.
    View(sync::Arc<member::MemberView>),
    /// This instance has started to drain.
    DrainStarted,
    /// The time of [`FlowTable::next_wake`](crate::FlowTable::next_wake) has been reached.
    Wake,
}
