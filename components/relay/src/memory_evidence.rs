//! Proves from the memory of engines at which software version a stream began.
//!
//! The load that this answers: all instances have ended, and callers take up streams of which no
//! instance knows anything. An engine keeps the parts of the prompts that it has read, and the last
//! part of a prompt belongs to one request or session. A part in memory shows that a prompt was read
//! there since the engine started, but not that a stream began there: an engine of another version may
//! have read the prompt before.
//!
//! Two grounds prove a version. Instances bind a prompt to the version that was sent it first, as long as
//! decode engines of it take new work. While a stream may be taken up that began with it elsewhere, a
//! version is sent it at its repeat engine alone, and without a prefill engine. So where a prefill engine
//! holds a part as well, or another decode engine than the repeat engine, no stream with it has begun at
//! another version. Otherwise each engine of another version that can have begun the stream has to deny
//! it: it is listed and answers that it doesn't hold the part, and the platform's store shows that no other
//! one has left since.

use std::{collections, time};

use crate::{backend_entry, prompt_terms, software_key, stream_search, view_change};

/// Time from the start of an engine until all instances know it, with the difference of clocks.
const REGISTRATION_TIME: time::Duration = time::Duration::from_secs(5);

/// What the memory of the engines shows about a part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PartEvidence {
    /// Streams with the part began at the only version whose engines hold it.
    Proven {
        software: software_key::SoftwareKey,
        ground: ProofGround,
    },
    /// It proves nothing.
    Unproven(UnprovenReason),
}

/// Ground on which a part proves the version of its streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProofGround {
    /// A prefill engine of the version holds the part; these are sent no prompts which another version was
    /// sent first.
    PrefillEngine,
    /// A decode engine of the version holds the part that is sent no such prompts either, since another one
    /// is.
    DecodeEngine,
    /// The engines of all other versions deny that they hold the part.
    Elimination,
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
    /// Whether one of these takes new work.
    has_serving_decode: bool,
    /// Largest weight for the part of the decode engines that hold it.
    largest_weight: u64,
    /// Whether an engine holds the part that has been a prefill engine since the part was read.
    has_prefill: bool,
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
    /// Names of engines that have changed stage, as the history shows.
    changed: collections::BTreeSet<ids::ServerName>,
    /// Decode engines that have taken new work for as long as a stream can have begun.
    lasting: collections::BTreeMap<software_key::SoftwareKey, Vec<ids::ServerName>>,
    terms: EvidenceTerms,
}

/// What instances know of the engines that are asked.
#[derive(Clone, Debug)]
pub(crate) struct EvidenceTerms {
    /// Time within which a stream can have begun.
    pub(crate) lifetime: time::Duration,
    /// Whether all instances tell each other of the prompts that they send, and are heard.
    pub(crate) tells_prompts: bool,
    /// Parts that instances have sent since they started, in the way of those that no other version was
    /// sent.
    pub(crate) sent_since: collections::BTreeSet<u64>,
}

impl MemoryEvidence {
    /// Evaluates answers.
    pub(crate) fn new(result: &stream_search::SearchResult, terms: EvidenceTerms) -> Self {
        let lifetime = terms.lifetime;
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
            changed: changed_engines(result),
            lasting: collections::BTreeMap::new(),
            terms,
        };
        evidence.add_lasting(result, lifetime);
        for memory in &result.memories {
            evidence.add(memory);
        }
        evidence
    }

    fn add_lasting(&mut self, result: &stream_search::SearchResult, lifetime: time::Duration) {
        let known_for = lifetime + REGISTRATION_TIME;
        let known_for = u64::try_from(known_for.as_millis()).unwrap_or(u64::MAX);
        let latest_start = result.wall_millis.saturating_sub(known_for);
        let engines = result.search.engines.iter().filter(|engine| {
            engine.stage == Some(backend_entry::EngineStage::Decode)
                && !engine.leaving
                && engine.born_millis <= latest_start
                && !self.changed.contains(&engine.server)
        });
        for engine in engines {
            let software = software_key::SoftwareKey::of(engine);
            let lasting = self.lasting.entry(software).or_default();
            lasting.push(engine.server.clone());
        }
    }

    fn add(&mut self, memory: &stream_search::EngineMemory) {
        let software = software_key::SoftwareKey::of(&memory.engine);
        let engine = &memory.engine;
        let is_decode = engine.stage == Some(backend_entry::EngineStage::Decode);
        let is_prefill = engine.stage == Some(backend_entry::EngineStage::Prefill)
            && !self.changed.contains(&engine.server);
        for part in &memory.parts {
            let holders = self.holders.entry(*part).or_insert(PartHolders {
                software,
                has_several_versions: false,
                has_decode: false,
                has_serving_decode: false,
                largest_weight: 0,
                has_prefill: false,
            });
            holders.has_several_versions |= holders.software != software;
            if is_decode {
                let weight = prompt_terms::engine_weight(*part, &engine.server);
                holders.largest_weight = holders.largest_weight.max(weight);
            }
            holders.has_decode |= is_decode;
            holders.has_serving_decode |= is_decode && !engine.leaving;
            holders.has_prefill |= is_prefill;
        }
    }

    /// Returns the parts that engines hold, with what each of them shows.
    pub(crate) fn parts(&self) -> impl Iterator<Item = (u64, PartEvidence)> {
        self.holders
            .iter()
            .map(|(part, holders)| (*part, self.judge(*part, holders)))
    }

    fn judge(&self, part: u64, holders: &PartHolders) -> PartEvidence {
        let software = holders.software;
        let others_answered = self.silent.iter().all(|silent| *silent == software);
        let proven = |ground| PartEvidence::Proven { software, ground };
        let reason = if holders.has_several_versions {
            UnprovenReason::SeveralVersions
        } else if !holders.has_decode {
            UnprovenReason::NoDecodeEngine
        } else if let Some(ground) = self.sent_first_ground(part, holders) {
            return proven(ground);
        } else if !others_answered {
            UnprovenReason::OthersSilent
        } else if !self.has_history {
            UnprovenReason::HistoryShort
        } else if !self.left.are_of(software) {
            UnprovenReason::OthersLeft
        } else {
            return proven(ProofGround::Elimination);
        };
        PartEvidence::Unproven(reason)
    }
}

impl MemoryEvidence {
    /// Returns the ground on which the engines that hold a part are sent no prompts which another version was
    /// sent first.
    fn sent_first_ground(&self, part: u64, holders: &PartHolders) -> Option<ProofGround> {
        let was_before = !self.terms.sent_since.contains(&part);
        if !(self.terms.tells_prompts && holders.has_serving_decode && was_before) {
            return None;
        }
        if holders.has_prefill {
            return Some(ProofGround::PrefillEngine);
        }
        let lasting = self.lasting.get(&holders.software).into_iter().flatten();
        let mut weights = lasting.map(|server| prompt_terms::engine_weight(part, server));
        let has_repeat_engine = weights.any(|weight| weight > holders.largest_weight);
        has_repeat_engine.then_some(ProofGround::DecodeEngine)
    }
}

impl LeftEngines {
    fn are_of(&self, software: software_key::SoftwareKey) -> bool {
        !self.has_unknown && self.versions.iter().all(|version| *version == software)
    }
}

/// Returns the names of the searched engines that changes of the list show at another stage.
fn changed_engines(result: &stream_search::SearchResult) -> collections::BTreeSet<ids::ServerName> {
    let engines = result.search.engines.iter();
    let stages: collections::BTreeMap<_, _> = engines
        .map(|engine| (&engine.server, engine.stage))
        .collect();
    let changed = result
        .history
        .changes
        .iter()
        .filter_map(|change| match change {
            view_change::ViewChange::Backend(entry) => Some(entry),
            _ => None,
        });
    changed
        .filter(|entry| {
            let stage = stages.get(&entry.server);
            stage.is_some_and(|stage| *stage != entry.stage)
        })
        .map(|entry| entry.server.clone())
        .collect()
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
