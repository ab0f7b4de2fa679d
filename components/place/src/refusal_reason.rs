//! Reasons for refusing a placement.

/// The reason for refusing a placement.
///
/// A refusal wastes no prefill work, except the refusal of a retarget request.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The instance that received the request does not own the cell.
    NotOwner,
    /// The owner has just taken over and has not recovered the leases yet.
    TakingOver,
    /// The first token would miss its deadline.
    FirstTokenLate,
    /// Adding the request would slow the token rate of other requests below their target.
    PaceTooSlow,
    /// The request needs more memory than any decode engine has.
    TooLarge,
    /// The queue of the cell is full.
    QueueFull,
    /// The retry budget is exhausted.
    RetryBudget,
    /// No usable engine of the cell serves the model.
    NoEngine,
}
