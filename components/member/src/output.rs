//! What a membership table asks for.

use std::sync;

use crate::{member_view, message};

/// What a membership table asks for.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to a peer.
    Send(ids::InstanceId, message::Message),
    /// Read the platform's list.
    ReadList,
    /// The view has changed.
    ViewChanged(sync::Arc<member_view::MemberView>),
}
