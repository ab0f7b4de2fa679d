//! A fault of a release note.

use crate::{fault_location, refusal_reason};

/// A fault of a release note.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct NoteFault {
    /// Location of the fault; `None` when the fault concerns the whole note.
    #[serde(rename = "place")]
    pub location: Option<fault_location::FaultLocation>,
    /// Reason of the refusal.
    pub reason: refusal_reason::RefusalReason,
}

impl NoteFault {
    /// Creates a fault that concerns the whole note.
    #[must_use]
    pub const fn whole(reason: refusal_reason::RefusalReason) -> Self {
        Self {
            location: None,
            reason,
        }
    }
}
