//! What is asked of engines and of the platform's store about streams that no instance knows.

use std::{collections, time};

use crate::{backend_entry, memory_evidence, software_key, view_change};

/// Engines of a service that are asked what they hold in memory.
#[derive(Clone, Debug)]
pub struct StreamSearch {
    /// Hash of the service from [`crate::service_hash`].
    pub service: u64,
    /// Engines of the service that the platform's list contains.
    pub engines: Vec<backend_entry::BackendEntry>,
}

/// What an engine holds in memory.
#[derive(Clone, Debug)]
pub struct EngineMemory {
    /// The engine, whose incarnation has been checked.
    pub engine: backend_entry::BackendEntry,
    /// Caller's attempts that the engine runs, by [`crate::stream_hash`].
    pub runs: Vec<u64>,
    /// Parts of prompts, by [`crate::part_hash`].
    pub parts: Vec<u64>,
}

/// Changes of the platform's list that its store still keeps.
#[derive(Clone, Debug, Default)]
pub struct ListHistory {
    /// Time until the search within which the store has kept every change; zero if that is unknown.
    pub span: time::Duration,
    /// The changes, oldest first.
    pub changes: Vec<view_change::ViewChange>,
    /// Whether the store has never dropped a change.
    pub is_whole: bool,
}

/// Answers to a search.
#[derive(Clone, Debug)]
pub struct SearchResult {
    /// What was asked.
    pub search: StreamSearch,
    /// Memory of the engines that have answered.
    pub memories: Vec<EngineMemory>,
    /// Changes of the platform's list.
    pub history: ListHistory,
    /// Time of the answers in milliseconds since the Unix epoch.
    pub wall_millis: u64,
}

/// What a search has proven.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SearchSummary {
    /// Engines that were asked.
    pub asked: usize,
    /// Engines that have answered.
    pub answered: usize,
    /// Streams that an engine still runs.
    pub runs: usize,
    /// Parts of prompts that prove the software version at which their streams began.
    pub proven: ProvenParts,
    /// Parts of prompts that prove nothing.
    pub unproven: UnprovenParts,
}

/// Parts of prompts that prove the software version at which their streams began, by the ground.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProvenParts {
    /// Held by engines of one version that are sent no prompts which another version was sent first.
    pub sent_first: usize,
    /// Denied by the engines of all other versions.
    pub elimination: usize,
}

impl ProvenParts {
    /// Counts a part.
    pub(crate) const fn add(&mut self, ground: memory_evidence::ProofGround) {
        let count = match ground {
            memory_evidence::ProofGround::PrefillEngine
            | memory_evidence::ProofGround::DecodeEngine => &mut self.sent_first,
            memory_evidence::ProofGround::Elimination => &mut self.elimination,
        };
        *count += 1;
    }

    /// Returns the number of parts.
    #[must_use]
    pub const fn total(&self) -> usize {
        self.sent_first + self.elimination
    }
}

/// Parts of prompts that engines hold and that prove nothing, by the reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UnprovenParts {
    /// Held by engines of several versions.
    pub several_versions: usize,
    /// Held by no decode engine.
    pub no_decode_engine: usize,
    /// An engine of another version hasn't answered.
    pub others_silent: usize,
    /// The store's history doesn't reach back far enough.
    pub history_short: usize,
    /// An engine of another version has left.
    pub others_left: usize,
}

impl UnprovenParts {
    /// Counts a part.
    pub(crate) const fn add(&mut self, reason: memory_evidence::UnprovenReason) {
        let count = match reason {
            memory_evidence::UnprovenReason::SeveralVersions => &mut self.several_versions,
            memory_evidence::UnprovenReason::NoDecodeEngine => &mut self.no_decode_engine,
            memory_evidence::UnprovenReason::OthersSilent => &mut self.others_silent,
            memory_evidence::UnprovenReason::HistoryShort => &mut self.history_short,
            memory_evidence::UnprovenReason::OthersLeft => &mut self.others_left,
        };
        *count += 1;
    }

    /// Returns the number of parts.
    #[must_use]
    pub const fn total(&self) -> usize {
        self.several_versions
            + self.no_decode_engine
            + self.others_silent
            + self.history_short
            + self.others_left
    }
}

/// Returns the hash that identifies a part of a prompt by its id.
#[must_use]
pub fn part_hash(id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.trim().to_ascii_lowercase().as_bytes())
}

/// Returns the attempts that engines of one version alone run, with that version.
pub(crate) fn unambiguous_runs(
    memories: &[EngineMemory],
) -> impl Iterator<Item = (u64, software_key::SoftwareKey)> {
    let mut runs = collections::BTreeMap::new();
    for memory in memories {
        let software = software_key::SoftwareKey::of(&memory.engine);
        for run in &memory.runs {
            runs.entry(*run)
                .and_modify(|known| {
                    if *known != Some(software) {
                        *known = None;
                    }
                })
                .or_insert(Some(software));
        }
    }
    runs.into_iter()
        .filter_map(|(run, software)| Some((run, software?)))
}
