//! What an instance tells the others of a server's rate limit.

use std::time;

/// Limit that a server named in its newest answer to the sender.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// Requests per second from all instances; `None` if the server named no limit.
    pub rate: Option<f64>,
    /// Time since the answer.
    pub age: time::Duration,
}

/// What an instance tells the others of a server's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Incarnation of the server, by [`crate::incarnation_hash`].
    pub server: u64,
    /// Newest answer of the server, unless another instance has received a newer one.
    pub observation: Option<LimitObservation>,
    /// Requests that the sender has sent to the server since it began to count them.
    pub requests: u32,
    /// Time since the sender began to count.
    pub counted_for: time::Duration,
}

impl LimitReport {
    /// Returns whether a later report says the same, apart from the time that has passed.
    #[must_use]
    pub(crate) fn has_same_content(&self, later: &Self) -> bool {
        let rate = |report: &Self| report.observation.map(|observation| observation.rate);
        self.requests == later.requests && rate(self) == rate(later)
    }
}

/// Process that has sent a report.
#[derive(Clone, Copy, Debug)]
pub struct ReportSource {
    /// Address of the instance.
    pub address: std::net::Ipv4Addr,
    /// Start of the process in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Whether the process was silent for so long that it no longer counted as alive.
    pub was_silent: bool,
}

impl ReportSource {
    /// Returns the process as one that draws on budgets.
    #[must_use]
    pub const fn draw_source(&self) -> budget::DrawSource {
        budget::DrawSource {
            address: self.address,
            incarnation: self.incarnation,
        }
    }
}
