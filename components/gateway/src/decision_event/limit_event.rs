//! Event of a request beyond the limit of its workspace.

/// Event of a request beyond the limit of its workspace.
#[derive(Debug, serde::Serialize)]
pub struct LimitEvent<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Name of the workspace.
    pub workspace: &'a str,
    /// Units of the request.
    pub units: u32,
    /// Limit in units per second, of all instances.
    pub limit_per_s: f64,
    /// Units that an unused limit collects.
    pub burst: f64,
    /// Units left to the instances in touch; negative when they have drawn too many.
    pub left: f64,
    /// Units per second that all instances have drawn recently, as far as this one knows.
    pub spending_per_s: f64,
    /// Share of the limit that the instances in touch use.
    pub share: f64,
    /// Age of the oldest count of an instance in touch.
    pub known_age_ms: Option<u64>,
}

impl<'a> LimitEvent<'a> {
    /// Creates the event.
    pub(crate) fn new(id: &'a str, workspace: &'a str, refusal: &relay::LimitRefusal) -> Self {
        Self {
            id,
            workspace,
            units: refusal.units,
            limit_per_s: refusal.rate,
            burst: refusal.burst,
            left: refusal.left,
            spending_per_s: refusal.spending,
            share: refusal.share,
            known_age_ms: refusal.known_age.map(crate::gateway::millis),
        }
    }
}
