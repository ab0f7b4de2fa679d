//! Position of a workspace relative to its fair share.

/// Ratio of a workspace's usage to its fair share up to which it counts as within the share.
const WITHIN_SHARE: f64 = 1.25;

/// Ratio between the bounds of two further steps.
const STEP_RATIO: f64 = 4.0;

/// Largest step.
const MAX_STEP: u8 = 8;

/// Position of a workspace's request relative to the workspace's fair share, in steps. Requests of one step
/// are ordered by due time, so that small differences in what instances know of the usage don't change the
/// order.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ShareStep(u8);

impl ShareStep {
    /// Step of requests within the share of their workspace.
    pub const WITHIN: Self = Self(0);

    /// Returns the step for a ratio of usage to fair share.
    #[must_use]
    pub fn of(ratio: f64) -> Self {
        let mut step = 0;
        let mut bound = WITHIN_SHARE;
        while ratio > bound && step < MAX_STEP {
            bound *= STEP_RATIO;
            step += 1;
        }
        Self(step)
    }
}
