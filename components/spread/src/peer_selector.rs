//! Selection of the peers that receive notes.

use std::sync;

/// Selects the peers that notes are pushed to and that summaries are compared with.
pub trait PeerSelector: Send {
    /// Replaces the membership view.
    fn update_view(&mut self, view: &sync::Arc<member::MemberView>);

    /// Returns at most `count` distinct peers to push new notes to.
    fn push_targets(
        &mut self,
        count: usize,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> Vec<ids::InstanceId>;

    /// Returns a peer to compare summaries with, or `None` without peers.
    fn comparison_target(
        &mut self,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> Option<ids::InstanceId>;
}

/// Returns the peers to exchange messages with: all members but this instance and dead ones, in
/// order of their ids.
pub(crate) fn peers(view: &member::MemberView) -> impl Iterator<Item = &member::MemberEntry> {
    view.members.values().filter(|member| {
        member.instance.id != view.own && member.state != member::MemberState::Dead
    })
}
