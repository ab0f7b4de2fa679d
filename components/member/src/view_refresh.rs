//! The refresh of a view that may be out of date.

use std::{collections, time};

/// Peers asked at once during a refresh.
pub(crate) const REFRESH_PEERS: usize = 3;

/// Answers that end a refresh, where there are as many peers.
pub(crate) const REFRESH_ANSWERS: usize = 2;

/// Time after which other peers are asked.
const REFRESH_WAIT: time::Duration = time::Duration::from_millis(500);

/// The refresh of a view that may be out of date.
///
/// It ends when the platform's list has been read again and enough peers have acknowledged
/// probes sent since the refresh began. Acknowledgements of earlier probes don't count, since
/// they may have waited in a buffer while this process was paused.
#[derive(Debug, Default)]
pub(crate) struct ViewRefresh {
    listed: bool,
    asked: collections::BTreeMap<u64, ids::InstanceId>,
    answered: collections::BTreeSet<ids::InstanceId>,
    ask_at: clock::Timestamp,
}

impl ViewRefresh {
    /// Notes that the list was read.
    pub(crate) const fn take_list(&mut self) {
        self.listed = true;
    }

    /// Returns when peers are to be asked next.
    pub(crate) const fn ask_at(&self) -> clock::Timestamp {
        if self.listed {
            self.ask_at
        } else {
            clock::Timestamp::MAX
        }
    }

    /// Notes which peers were asked, by the sequence numbers of the probes.
    pub(crate) fn ask(
        &mut self,
        now: clock::Timestamp,
        asked: collections::BTreeMap<u64, ids::InstanceId>,
    ) {
        self.asked.extend(asked);
        self.ask_at = now + REFRESH_WAIT;
    }

    /// Notes an acknowledgement.
    pub(crate) fn acknowledge(&mut self, from: ids::InstanceId, sequence: u64) {
        if self.asked.get(&sequence) == Some(&from) {
            self.answered.insert(from);
        }
    }

    /// Returns whether the view may be acted on, when `wanted` peers could answer.
    pub(crate) fn is_done(&self, wanted: usize) -> bool {
        self.listed && self.answered.len() >= wanted.min(REFRESH_ANSWERS)
    }
}
