//! What happened in a demo.

use std::collections;

use crate::fault_script;

/// What happened in a demo.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct DemoReport {
    /// Seed of the plan.
    pub seed: u64,
    /// Requests and calls offered.
    pub offered: usize,
    /// Requests and calls whose whole answer arrived.
    pub answered: usize,
    /// Answers whose first token and pace were in time.
    pub in_time: usize,
    /// Requests whose caller gave up, as planned.
    pub cancelled: usize,
    /// Requests and calls that the router refused in the end.
    pub not_run: usize,
    /// Keyed calls that an earlier try had run.
    pub ran_before: usize,
    /// Requests and calls whose outcome the router couldn't tell.
    pub unknown: usize,
    /// Requests and calls whose connection broke.
    pub connection_lost: usize,
    /// Last errors of requests and calls that weren't answered, by kind and code.
    pub errors: collections::BTreeMap<String, usize>,
    /// Answers that ended as whole without being the whole answer to their request.
    pub wrong_answers: usize,
    /// Share of the prompt tokens read whose answer wasn't delivered.
    pub wasted_prefill_share: f64,
    /// Runs of non-idempotent calls beyond the first.
    pub duplicate_calls: u32,
    /// Calls that ran although their caller was told that they didn't.
    pub false_not_run: usize,
    /// Pieces of engine memory still held at the end.
    pub leaked_kv_pieces: u32,
    /// Requests and calls cut off by an instance that didn't die.
    pub cut_off: usize,
    /// Whether every drain finished all that was in flight.
    pub drained: bool,
    /// Time until a release note was in force everywhere, in seconds.
    pub release_note_seconds: Option<f64>,
}

impl DemoReport {
    /// Returns the promises that were broken.
    #[must_use]
    pub fn broken_promises(&self) -> Vec<&'static str> {
        let note_limit = fault_script::NOTE_LIMIT.as_secs_f64();
        let is_note_late = self
            .release_note_seconds
            .is_none_or(|seconds| seconds > note_limit);
        [
            (
                self.wrong_answers > 0,
                "an answer wasn't whole or not its caller's",
            ),
            (self.duplicate_calls > 0, "a non-idempotent call ran twice"),
            (
                self.false_not_run > 0,
                "a call ran though its caller was told otherwise",
            ),
            (self.leaked_kv_pieces > 0, "engine memory stayed held"),
            (self.cut_off > 0, "a request was cut off"),
            (!self.drained, "a drain left requests behind"),
            (
                is_note_late,
                "a release note wasn't in force everywhere in time",
            ),
        ]
        .into_iter()
        .filter_map(|(is_broken, promise)| is_broken.then_some(promise))
        .collect()
    }

    /// Returns the report as one line of JSON.
    #[must_use]
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
