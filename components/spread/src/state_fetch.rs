//! Fetches a whole state from a peer, part by part.

use std::{collections, sync, time};

use crate::{message, output};

/// Parts asked for at once.
const OPEN_PARTS: u32 = 4;

/// Time after which missing parts are asked for again.
const PART_WAIT: time::Duration = time::Duration::from_millis(500);

/// Times that missing parts are asked for before the donor is given up.
const ASKS_LIMIT: u32 = 4;

/// Fetches a whole state from a peer, part by part.
#[derive(Debug)]
pub(crate) struct StateFetch {
    donor: ids::InstanceId,
    summary: message::Summary,
    /// Number of parts; zero until the first one is there.
    count: u32,
    parts: collections::BTreeMap<u32, sync::Arc<str>>,
    highest_asked: u32,
    deadline: clock::Timestamp,
    asks: u32,
}

impl StateFetch {
    /// Begins to fetch the state with this summary from `donor`.
    pub(crate) fn begin(
        now: clock::Timestamp,
        donor: ids::InstanceId,
        summary: message::Summary,
        outputs: &mut Vec<output::Output>,
    ) -> Self {
        let mut fetch = Self {
            donor,
            summary,
            count: 0,
            parts: collections::BTreeMap::new(),
            highest_asked: 0,
            deadline: now + PART_WAIT,
            asks: 1,
        };
        fetch.ask_more(outputs);
        fetch
    }

    /// Returns when missing parts are asked for again.
    pub(crate) const fn deadline(&self) -> clock::Timestamp {
        self.deadline
    }

    /// Asks for missing parts again; returns whether the donor is given up.
    pub(crate) fn expire(
        &mut self,
        now: clock::Timestamp,
        outputs: &mut Vec<output::Output>,
    ) -> bool {
        if now < self.deadline {
            return false;
        }
        self.asks += 1;
        self.deadline = now + PART_WAIT;
        for number in 1..=self.highest_asked.max(1) {
            if !self.parts.contains_key(&number) {
                self.ask(number, outputs);
            }
        }
        self.asks > ASKS_LIMIT
    }

    /// Takes a part; returns all texts when this was the last one missing.
    pub(crate) fn take(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        part: message::StatePart,
        outputs: &mut Vec<output::Output>,
    ) -> Option<(message::Summary, Vec<sync::Arc<str>>)> {
        if from != self.donor {
            return None;
        }
        if part.summary != self.summary {
            self.restart(part.summary);
        }
        self.count = part.count;
        self.parts.insert(part.number, part.text);
        self.deadline = now + PART_WAIT;
        self.asks = 1;
        if u32::try_from(self.parts.len()).ok() == Some(self.count) {
            let texts = std::mem::take(&mut self.parts).into_values().collect();
            return Some((self.summary, texts));
        }
        self.ask_more(outputs);
        None
    }

    /// Starts over, since the donor no longer has the state that was asked for.
    fn restart(&mut self, summary: message::Summary) {
        self.summary = summary;
        self.parts.clear();
        self.highest_asked = 0;
    }

    fn ask_more(&mut self, outputs: &mut Vec<output::Output>) {
        let held = u32::try_from(self.parts.len()).unwrap_or(u32::MAX);
        let last = if self.count == 0 {
            1
        } else {
            self.count.min(held.saturating_add(OPEN_PARTS))
        };
        for number in self.highest_asked + 1..=last {
            if !self.parts.contains_key(&number) {
                self.ask(number, outputs);
            }
        }
        self.highest_asked = self.highest_asked.max(last);
    }

    fn ask(&self, number: u32, outputs: &mut Vec<output::Output>) {
        let ask = message::Message::FetchPart(self.summary, number);
        outputs.push(output::Output::Send(self.donor, ask));
    }
}
