//! Fetches a whole state from a peer in parts.

use std::{collections, sync, time};

use crate::{message, output};

/// Number of parts requested at once.
const PARALLEL_PARTS: u32 = 4;

/// Time after which missing parts are requested again.
const PART_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Number of requests without a response after which the fetch is abandoned.
const ATTEMPT_LIMIT: u32 = 4;

/// Fetches a whole state from a peer in parts.
#[derive(Debug)]
pub(crate) struct StateFetch {
    source: ids::InstanceId,
    summary: message::Summary,
    /// Total number of parts; zero until the first part is received.
    count: u32,
    parts: collections::BTreeMap<u32, sync::Arc<str>>,
    highest_requested: u32,
    deadline: clock::Timestamp,
    attempts: u32,
}

impl StateFetch {
    /// Starts to fetch the state with this summary from `source`.
    pub(crate) fn begin(
        now: clock::Timestamp,
        source: ids::InstanceId,
        summary: message::Summary,
        outputs: &mut Vec<output::Output>,
    ) -> Self {
        let mut fetch = Self {
            source,
            summary,
            count: 0,
            parts: collections::BTreeMap::new(),
            highest_requested: 0,
            deadline: now + PART_TIMEOUT,
            attempts: 1,
        };
        fetch.request_more(outputs);
        fetch
    }

    /// Returns the time at which missing parts are requested again.
    pub(crate) const fn deadline(&self) -> clock::Timestamp {
        self.deadline
    }

    /// Requests missing parts again after the deadline; returns whether the fetch is abandoned.
    pub(crate) fn handle_timeout(
        &mut self,
        now: clock::Timestamp,
        outputs: &mut Vec<output::Output>,
    ) -> bool {
        if now < self.deadline {
            return false;
        }
        self.attempts += 1;
        self.deadline = now + PART_TIMEOUT;
        for number in 1..=self.highest_requested.max(1) {
            if !self.parts.contains_key(&number) {
                self.request(number, outputs);
            }
        }
        self.attempts > ATTEMPT_LIMIT
    }

    /// Handles a received part; returns the texts of all parts when none is missing any more.
    pub(crate) fn handle_part(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        part: message::StatePart,
        outputs: &mut Vec<output::Output>,
    ) -> Option<(message::Summary, Vec<sync::Arc<str>>)> {
        if from != self.source {
            return None;
        }
        if part.summary != self.summary {
            self.restart(part.summary);
        }
        self.count = part.count;
        self.parts.insert(part.number, part.text);
        self.deadline = now + PART_TIMEOUT;
        self.attempts = 1;
        if u32::try_from(self.parts.len()).ok() == Some(self.count) {
            let texts = std::mem::take(&mut self.parts).into_values().collect();
            return Some((self.summary, texts));
        }
        self.request_more(outputs);
        None
    }

    /// Restarts the fetch with another state, since the source no longer has the requested one.
    fn restart(&mut self, summary: message::Summary) {
        self.summary = summary;
        self.parts.clear();
        self.highest_requested = 0;
    }

    fn request_more(&mut self, outputs: &mut Vec<output::Output>) {
        let received = u32::try_from(self.parts.len()).unwrap_or(u32::MAX);
        let last = if self.count == 0 {
            1
        } else {
            self.count.min(received.saturating_add(PARALLEL_PARTS))
        };
        for number in self.highest_requested + 1..=last {
            if !self.parts.contains_key(&number) {
                self.request(number, outputs);
            }
        }
        self.highest_requested = self.highest_requested.max(last);
    }

    fn request(&self, number: u32, outputs: &mut Vec<output::Output>) {
        let request = message::Message::FetchPart(self.summary, number);
        outputs.push(output::Output::Send(self.source, request));
    }
}
