//! State of one engine as recorded by its owner.

/// Order that was sent and is not confirmed yet.
#[derive(Clone, Debug)]
pub(crate) struct OpenOrder {
    /// Number that identifies the order.
    pub(crate) number: u64,
    /// Ordered action.
    pub(crate) action: border::OrderAction,
    /// Time at which the order was sent.
    pub(crate) sent_at: clock::Timestamp,
}

/// State of one engine as recorded by its owner.
#[derive(Clone, Debug)]
pub(crate) struct EngineRecord {
    /// Cell of the engine.
    pub(crate) cell: ids::CellId,
    /// Time at which this instance became the owner.
    pub(crate) owned_since: clock::Timestamp,
    /// Last reported status and the time at which it was received.
    pub(crate) status: Option<(clock::Timestamp, border::EngineStatus)>,
    /// Number of requests that the engine serves and the time at which it was received.
    pub(crate) running: Option<(clock::Timestamp, u32)>,
    /// Order that is not confirmed yet.
    pub(crate) open: Option<OpenOrder>,
    /// Start of the drain, if the engine is draining.
    pub(crate) draining_since: Option<clock::Timestamp>,
    /// Role of a flexible engine as required by the demand.
    pub(crate) target_role: Option<note::EngineRole>,
    /// Time of the next read of the status.
    pub(crate) next_poll: clock::Timestamp,
    /// Time before which no order is sent, after a refusal or a drain timeout.
    pub(crate) backoff_until: clock::Timestamp,
}

impl EngineRecord {
    /// Creates the record of an engine whose owner this instance has just become.
    pub(crate) const fn new(now: clock::Timestamp, cell: ids::CellId) -> Self {
        Self {
            cell,
            owned_since: now,
            status: None,
            running: None,
            open: None,
            draining_since: None,
            target_role: None,
            next_poll: now,
            backoff_until: now,
        }
    }

    /// Returns the status if it was received at or after `since`.
    pub(crate) fn status_since(&self, since: clock::Timestamp) -> Option<&border::EngineStatus> {
        self.status
            .as_ref()
            .filter(|(at, _)| *at >= since)
            .map(|(_, status)| status)
    }

    /// Returns whether the latest count of running requests is zero and was received after the
    /// start of the drain.
    pub(crate) fn is_drained(&self) -> bool {
        match (self.draining_since, self.running) {
            (Some(since), Some((at, running))) => at > since && running == 0,
            _ => false,
        }
    }
}
