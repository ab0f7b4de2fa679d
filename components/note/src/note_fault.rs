//! One fault of a note.

use crate::{fault_place, refusal_reason};

/// One fault of a note.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct NoteFault {
    /// Where the fault is; `None` when it is the note as a whole.
    pub place: Option<fault_place::FaultPlace>,
    /// What the fault is.
    pub reason: refusal_reason::RefusalReason,
}

impl NoteFault {
    /// Makes a fault of the note as a whole.
    #[must_use]
    pub const fn whole(reason: refusal_reason::RefusalReason) -> Self {
        Self {
            place: None,
            reason,
        }
    }
}
