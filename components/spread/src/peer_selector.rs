//! How peers are chosen to be told of notes.

use std::sync;

/// Chooses the peers that are told of notes.
pub trait PeerSelector: Send {
    /// Takes a changed membership.
    fn take_view(&mut self, view: &sync::Arc<member::MemberView>);

    /// Returns at most `count` different peers to push a new note to.
    fn push_targets(
        &mut self,
        count: usize,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> Vec<ids::InstanceId>;

    /// Returns a peer to compare summaries with.
    fn compare_target(&mut self, random: &mut rand_chacha::ChaCha8Rng) -> Option<ids::InstanceId>;
}

/// Returns the members that a spreader exchanges messages with, in order of their ids.
pub(crate) fn peers(view: &member::MemberView) -> impl Iterator<Item = &member::MemberEntry> {
    view.members.values().filter(|member| {
        member.instance.id != view.own && member.state != member::MemberState::Dead
    })
}
