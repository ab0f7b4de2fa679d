//! The policies that can be chosen by name.

use crate::{
    deadline_policy, least_loaded_policy, placement_policy, round_robin_policy, two_choices_policy,
};

/// The policies that can be chosen by name.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum PolicyKind {
    /// Counts exactly and starts prefill for its deadline.
    #[default]
    Deadline,
    /// Takes the engines in turn.
    RoundRobin,
    /// Takes the engine with the least load by the lagging reports.
    LeastLoaded,
    /// Takes the less loaded of two random engines by the lagging reports.
    TwoChoices,
}

impl PolicyKind {
    /// Makes the policy.
    #[must_use]
    pub fn make(self, seed: u64) -> Box<dyn placement_policy::PlacementPolicy> {
        match self {
            Self::Deadline => Box::new(deadline_policy::DeadlinePolicy),
            Self::RoundRobin => Box::new(round_robin_policy::RoundRobinPolicy::default()),
            Self::LeastLoaded => Box::new(least_loaded_policy::LeastLoadedPolicy),
            Self::TwoChoices => Box::new(two_choices_policy::TwoChoicesPolicy::new(seed)),
        }
    }
}
