//! What an owner knows of one of its engines.

/// An order that was sent and isn't settled.
#[derive(Clone, Debug)]
pub(crate) struct OpenOrder {
    /// Number of the order.
    pub(crate) number: u64,
    /// What was ordered.
    pub(crate) action: border::OrderAction,
    /// When it was sent.
    pub(crate) sent_at: clock::Timestamp,
}

/// What an owner knows of one of its engines.
#[derive(Clone, Debug)]
pub(crate) struct EngineTrack {
    /// Cell of the engine.
    pub(crate) cell: ids::CellId,
    /// When this instance became the owner.
    pub(crate) owned_since: clock::Timestamp,
    /// What the engine last reported, and when.
    pub(crate) status: Option<(clock::Timestamp, border::EngineStatus)>,
    /// Requests the engine holds, and when that was read.
    pub(crate) busy: Option<(clock::Timestamp, u32)>,
    /// Order that isn't settled.
    pub(crate) open: Option<OpenOrder>,
    /// Whether new work is kept away, and since when.
    pub(crate) drained_since: Option<clock::Timestamp>,
    /// Role that demand asks of a flexible engine.
    pub(crate) wanted_role: Option<note::EngineRole>,
    /// When the status is read next.
    pub(crate) read_at: clock::Timestamp,
    /// Time before which no order is tried again after a refusal.
    pub(crate) rest_until: clock::Timestamp,
}

impl EngineTrack {
    /// Makes the track of an engine whose owner this instance has just become.
    pub(crate) const fn new(now: clock::Timestamp, cell: ids::CellId) -> Self {
        Self {
            cell,
            owned_since: now,
            status: None,
            busy: None,
            open: None,
            drained_since: None,
            wanted_role: None,
            read_at: now,
            rest_until: now,
        }
    }

    /// Returns the status if it was read after `since`.
    pub(crate) fn status_since(&self, since: clock::Timestamp) -> Option<&border::EngineStatus> {
        self.status
            .as_ref()
            .filter(|(at, _)| *at >= since)
            .map(|(_, status)| status)
    }

    /// Returns whether the engine held nothing when it was read after the drain began.
    pub(crate) fn is_empty_since_drain(&self) -> bool {
        match (self.drained_since, self.busy) {
            (Some(since), Some((at, busy))) => at > since && busy == 0,
            _ => false,
        }
    }
}
