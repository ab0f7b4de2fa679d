//! Outputs of a membership table.

use std::sync;

use crate::{member_view, message};

/// Outputs of a membership table.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to a peer.
    Send(ids::InstanceId, message::Message),
    /// Read the platform's instance list.
    ReadList,
    /// The view has changed to the given one.
    ViewChanged(sync::Arc<member_view::MemberView>),
}
