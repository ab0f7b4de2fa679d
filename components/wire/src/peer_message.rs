//! A message between instances.

/// A message between instances, sorted by the state machine it is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerMessage {
    /// For the membership table.
    Member(member::Message),
    /// For the note spreader.
    Spread(spread::Message),
    /// For placement, on the owner's or the entry's side.
    Place(place::Message),
    /// For the call keeper.
    Call(call::Message),
}
