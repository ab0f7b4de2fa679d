//! Why a placement is refused.

/// Why a placement is refused; none of the reasons has cost prefill.
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
    /// The asked instance doesn't own the cell.
    NotOwner,
    /// The owner has just taken over and doesn't know the leases yet.
    TakingOver,
    /// The first token can't come in time.
    FirstTokenLate,
    /// Adding the request would slow the others' tokens beyond their target.
    PaceTooSlow,
    /// The request needs more memory than any engine has.
    TooLarge,
    /// The queue of the workspace or of the cell is full.
    QueueFull,
    /// The share of traffic that may be repeats is used up.
    RetryBudget,
    /// No engine of the cell serves the model.
    NoEngine,
}
