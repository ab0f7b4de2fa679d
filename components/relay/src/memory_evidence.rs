//! Proves from the memory of engines at which software version a stream began.
//!
//! The load that this answers: all instances have ended, and callers take up streams of which no
//! instance knows anything. An engine keeps the parts of the prompts that it has read, and the last
//! part of a prompt belongs to one request or session. A part in memory shows that a prompt was read
//! there since the engine started, but not that a stream began there: an engine of another version may
//! have read the prompt before. So each engine of another version that can have begun the stream has to
//! deny it: it is listed and answers that it doesn't hold the part, and the platform's store shows that
//! no other one has left since.

use std::{collections, time};

use crate::{backend_entry, software_key, stream_search, view_change};

/// What the memory of the engines shows about a part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PartEvidence {
    /// Streams with the part began at the only version whose engines hold it.
    Proven(software_key::SoftwareKey),
    /// It proves nothing.
    Unproven(UnprovenReason),
}

/// Reason for which a part that engines hold doesn't prove the version of its streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UnprovenReason {
    /// Engines of several versions hold the part.
    SeveralVersions,
    /// Only prefill engines hold the part; they begin no streams.
    NoDecodeEngine,
    /// An engine of another version hasn't answered.
    OthersSilent,
    /// The store's history doesn't cover the time within which a stream can have begun.
    HistoryShort,
    /// An engine of another version, or a server of an unknown one, has left within that time.
    OthersLeft,
}

/// Engines that hold a part of a prompt.
struct PartHolders {
    software: software_key::SoftwareKey,
    /// Whether engines of another version hold the part as well.
    has_several_versions: bool,
    /// Whether a decode engine holds the part; prefill engines alone don't begin a stream.
    has_decode: bool,
}

/// Engines that have left the platform's list.
#[derive(Default)]
struct LeftEngines {
    versions: collections::BTreeSet<software_key::SoftwareKey>,
    /// Whether servers of unknown versions have left.
    has_unknown: bool,
}

/// Evidence in the answers to a search.
pub(crate) struct MemoryEvidence {
    holders: collections::BTreeMap<u64, PartHolders>,
    /// Versions of listed engines that haven't answered.
    silent: collections::BTreeSet<software_key::SoftwareKey>,
    left: LeftEngines,
    /// Whether the history covers the time within which a stream can have begun.
    has_history: bool,
}

impl MemoryEvidence {
    /// Evaluates answers; `lifetime` is the time within which a stream can have begun.
    pub(crate) fn new(result: &stream_search::SearchResult, lifetime: time::Duration) -> Self {
        let answered: collections::BTreeSet<&ids::ServerName> = result
            .memories
            .iter()
            .map(|memory| &memory.engine.server)
            .collect();
        let engines = result.search.engines.iter();
        let mut evidence = Self {
            holders: collections::BTreeMap::new(),
            silent: engines
                .filter(|engine| !answered.contains(&engine.server))
                .map(software_key::SoftwareKey::of)
                .collect(),
            left: left_engines(result),
            has_history: result.history.span >= lifetime && is_complete(result),
        };
        for memory in &result.memories {
            evidence.add(memory);
        }
        evidence
    }

    fn add(&mut self, memory: &stream_search::EngineMemory) {
        let software = software_key::SoftwareKey::of(&memory.engine);
        let is_decode = memory.engine.stage == Some(backend_entry::EngineStage::Decode);
        for part in &memory.parts {
            let holders = self.holders.entry(*part).or_insert(PartHolders {
                software,
                has_several_versions: false,
                has_decode: false,
            });
            holders.has_several_versions |= holders.software != software;
            holders.has_decode |= is_decode;
        }
    }

    /// Returns the parts that engines hold, with what each of them shows.
    pub(crate) fn parts(&self) -> impl Iterator<Item = (u64, PartEvidence)> {
        self.holders
            .iter()
            .map(|(part, holders)| (*part, self.judge(holders)))
    }

    fn judge(&self, holders: &PartHolders) -> PartEvidence {
        let software = holders.software;
        let others_answered = self.silent.iter().all(|silent| *silent == software);
        let reason = if holders.has_several_versions {
            UnprovenReason::SeveralVersions
        } else if !holders.has_decode {
            UnprovenReason::NoDecodeEngine
        } else if !others_answered {
            UnprovenReason::OthersSilent
        } else if !self.has_history {
            UnprovenReason::HistoryShort
        } else if !self.left.are_of(software) {
            UnprovenReason::OthersLeft
        } else {
            return PartEvidence::Proven(software);
        };
        PartEvidence::Unproven(reason)
    }
}

impl LeftEngines {
    fn are_of(&self, software: software_key::SoftwareKey) -> bool {
        !self.has_unknown && self.versions.iter().all(|version| *version == software)
    }
}

/// Returns the engines of the searched service that the history shows and the list no longer contains.
fn left_engines(result: &stream_search::SearchResult) -> LeftEngines {
    let mut left = LeftEngines::default();
    let mut written = collections::BTreeSet::new();
    for change in &result.history.changes {
        match change {
            view_change::ViewChange::Backend(entry) => {
                written.insert(&entry.server);
                let software = software_key::SoftwareKey::of(entry);
                let is_listed = result.search.engines.iter().any(|engine| {
                    engine.server == entry.server && engine.is_same_incarnation(entry)
                });
                if software.service == result.search.service && !is_listed {
                    left.versions.insert(software);
                }
            }
            view_change::ViewChange::BackendRemoved(server) => {
                left.has_unknown |= !written.contains(server);
            }
            view_change::ViewChange::Config(_) => {}
        }
    }
    left
}

/// Returns whether the history contains the entries of all engines that have started within its span. If
/// not, the store has dropped changes early.
fn is_complete(result: &stream_search::SearchResult) -> bool {
    let span = u64::try_from(result.history.span.as_millis()).unwrap_or(u64::MAX);
    let start = result.wall_millis.saturating_sub(span);
    let engines = result.search.engines.iter();
    let mut young = engines.filter(|engine| engine.born_millis > start);
    young.all(|engine| {
        result.history.changes.iter().any(|change| {
            matches!(change, view_change::ViewChange::Backend(entry)
                if entry.server == engine.server && entry.is_same_incarnation(engine))
        })
    })
}
