//! The placement policies that can be selected by name.

use crate::{
    deadline_policy, least_loaded_policy, placement_policy, round_robin_policy, two_choices_policy,
};

/// The placement policies that can be selected by name.
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
    /// Counts leases exactly and schedules prefill by deadline.
    #[default]
    Deadline,
    /// Selects the engines in turn.
    RoundRobin,
    /// Selects the engine with the least reported load.
    LeastLoaded,
    /// Selects the engine with the lower reported load of two random engines.
    TwoChoices,
}

impl PolicyKind {
    /// Creates the policy; `seed` is used by policies that select at random.
    #[must_use]
    pub fn create(self, seed: u64) -> Box<dyn placement_policy::PlacementPolicy> {
        match self {
            Self::Deadline => Box::new(deadline_policy::DeadlinePolicy),
            Self::RoundRobin => Box::new(round_robin_policy::RoundRobinPolicy::default()),
            Self::LeastLoaded => Box::new(least_loaded_policy::LeastLoadedPolicy),
            Self::TwoChoices => Box::new(two_choices_policy::TwoChoicesPolicy::new(seed)),
        }
    }
}
