//! Streams that no instance knows: who asks the engines, and what their answers prove.

use std::{collections, time};

use super::core_software;
use crate::{
    instance_update, memory_evidence, origin_report, relay_core, search_notice, search_schedule,
    software_key, stream_search,
};

/// Time for which what a search has proven is kept, at least until the deadlines of the callers.
const EVIDENCE_LIFETIME: time::Duration = time::Duration::from_secs(30);

/// Time after the start of a process within which it may seek the streams of all engines.
const START_TIME: time::Duration = time::Duration::from_secs(3);

/// Time after the start of a process within which instances that have lived on tell it the versions.
const VERSIONS_TIME: time::Duration = time::Duration::from_millis(800);

/// Time after a search within which partial updates tell of it, too.
const TELLING_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Time between the starts of two processes from which one has lived on when the other had ended, in
/// milliseconds.
const OLDER_MILLIS: u64 = 2_000;

/// Time after which a search is tried again that the view was too old for.
const VIEW_WAIT: time::Duration = time::Duration::from_millis(50);

impl relay_core::RelayCore {
    /// Returns the engines to ask now, or the time after which that may be due; neither if nothing
    /// is sought.
    pub fn next_search(
        &mut self,
        now: clock::Timestamp,
    ) -> (Option<stream_search::StreamSearch>, Option<time::Duration>) {
        let uptime = now.since(clock::Timestamp::default());
        let is_new = uptime < START_TIME;
        let lifetime = self.lifetimes.longest(now);
        let has_config = self.tracker.view().config.is_some();
        if has_config && self.software_history.span(now) >= lifetime {
            return (None, None);
        }
        let age = self.tracker.age(now);
        let is_current = age.is_some_and(|age| age < core_software::MAX_VIEW_AGE);
        let earliest = if self.others_have_lived_on(now) {
            VERSIONS_TIME
        } else {
            search_schedule::MEETING_TIME
        };
        if uptime < earliest || !is_current || self.is_behind() {
            let is_awaited = is_new || self.seeks_streams(now);
            return (None, is_awaited.then_some(VIEW_WAIT));
        }
        self.seek_after_start(now);
        let seeds = &self.settings.seeds;
        let is_seed = seeds.is_empty() || seeds.contains(&self.settings.address);
        let rank = self.instances.rank(now);
        match self.searches.next_step(now, rank, is_seed) {
            search_schedule::SearchStep::Idle => (None, None),
            search_schedule::SearchStep::Wait(wait) => (None, Some(wait)),
            search_schedule::SearchStep::Begin(service) => {
                let entries = self.tracker.view().backends.values();
                let engines = entries.filter(|entry| {
                    entry.stage.is_some()
                        && instance_update::service_hash(&entry.service) == service
                });
                let engines = engines.cloned().collect();
                (Some(stream_search::StreamSearch { service, engines }), None)
            }
        }
    }

    /// Seeks the streams of all engines, once, if all instances have started recently: callers notice
    /// seconds later that their streams have ended, when new prompts have displaced those of the streams.
    fn seek_after_start(&mut self, now: clock::Timestamp) {
        let has_sought = std::mem::replace(&mut self.has_sought_after_start, true);
        if has_sought || self.others_have_lived_on(now) {
            return;
        }
        let entries = self.tracker.view().backends.values();
        let engines = entries.filter(|entry| entry.stage.is_some());
        for engine in engines {
            let service = instance_update::service_hash(&engine.service);
            self.searches.seek(now, service);
        }
    }

    /// Returns whether another instance runs that was running before this process started.
    pub(super) fn others_have_lived_on(&self, now: clock::Timestamp) -> bool {
        let latest_start = self.settings.incarnation.saturating_sub(OLDER_MILLIS);
        self.instances.has_started_before(now, latest_start)
    }

    /// Applies the answers to a search: streams that still run, and prompts that prove the version at
    /// which their streams began.
    pub fn apply_search(
        &mut self,
        now: clock::Timestamp,
        result: &stream_search::SearchResult,
    ) -> stream_search::SearchSummary {
        let mut summary = stream_search::SearchSummary {
            asked: result.search.engines.len(),
            answered: result.memories.len(),
            ..stream_search::SearchSummary::default()
        };
        for (run, software) in stream_search::unambiguous_runs(&result.memories) {
            summary.runs += 1;
            if self.origins.software(now, run).is_none() {
                self.origins.record(now, &evidence_report(run, software));
            }
        }
        let lifetime = self.lifetimes.shown(now, &result.history);
        self.lifetimes.apply_report(now, lifetime);
        let held = result.memories.iter().flat_map(|memory| &memory.parts);
        let sent_since = held
            .copied()
            .filter(|part| self.prompts.is_known(now, *part));
        let terms = memory_evidence::EvidenceTerms {
            lifetime,
            // Others may have asked the engines and may have sent prompts since.
            tells_prompts: self.instances.all_tell_prompts(now) && !self.hears_nobody(now),
            sent_since: sent_since.collect(),
        };
        let evidence = memory_evidence::MemoryEvidence::new(result, terms);
        for (part, shown) in evidence.parts() {
            match shown {
                memory_evidence::PartEvidence::Proven { software, ground } => {
                    summary.proven.add(ground);
                    let key = proof_key(ground, part);
                    self.origins.record(now, &evidence_report(key, software));
                }
                memory_evidence::PartEvidence::Unproven(reason) => summary.unproven.add(reason),
            }
        }
        self.searches.end(now, result.search.service);
        summary
    }

    /// Returns whether a stream is sought that no instance knows.
    #[must_use]
    pub fn seeks_streams(&self, now: clock::Timestamp) -> bool {
        !self.searches.sought(now).is_empty()
    }

    /// Applies what another instance tells about sought streams.
    pub(super) fn apply_search_notice(
        &mut self,
        now: clock::Timestamp,
        notice: &search_notice::SearchNotice,
    ) {
        let known: collections::BTreeSet<u64> = self
            .backends
            .table()
            .values()
            .map(|engine| instance_update::service_hash(&engine.entry.service))
            .collect();
        for service in notice.sought.iter().filter(|sought| known.contains(sought)) {
            self.searches.seek(now, *service);
        }
        for service in notice
            .searched
            .iter()
            .filter(|searched| known.contains(searched))
        {
            self.searches.end_elsewhere(now, *service);
        }
        self.lifetimes.apply_report(now, notice.lifetime);
        if !notice.span.is_zero() {
            self.software_history
                .apply_report(now, notice.span, &notice.versions);
        }
    }

    /// Returns what this instance tells about sought streams. The versions are told only in a full
    /// update, while other instances have started recently.
    pub(super) fn search_notice(
        &self,
        now: clock::Timestamp,
        is_full: bool,
    ) -> search_notice::SearchNotice {
        let searched = if self.origins.has_untold() {
            Vec::new()
        } else {
            let told_for = if is_full {
                self.lifetimes.longest(now)
            } else {
                TELLING_TIME
            };
            self.searches.searched(now, told_for)
        };
        let age = self.tracker.age(now);
        let age = age.filter(|age| *age < core_software::MAX_VIEW_AGE);
        let span = age.map_or(time::Duration::ZERO, |age| {
            self.software_history.span(now).saturating_sub(age)
        });
        let tells_versions =
            is_full && self.origins.tells_again(now) && span >= self.lifetimes.longest(now);
        search_notice::SearchNotice {
            sought: self.searches.sought(now),
            span: if tells_versions {
                span
            } else {
                time::Duration::ZERO
            },
            versions: if tells_versions {
                self.software_history.all_versions().collect()
            } else {
                Vec::new()
            },
            lifetime: if tells_versions || !searched.is_empty() {
                self.lifetimes.configured(now)
            } else {
                time::Duration::ZERO
            },
            searched,
        }
    }
}

/// Returns the key under which a part is reported that proves a version.
fn proof_key(ground: memory_evidence::ProofGround, part: u64) -> u64 {
    match ground {
        memory_evidence::ProofGround::PrefillEngine => origin_report::first_prompt_key(part),
        memory_evidence::ProofGround::DecodeEngine | memory_evidence::ProofGround::Elimination => {
            origin_report::read_prompt_key(part)
        }
    }
}

/// Returns the report of what a search has proven, under the key of a stream or a part of a prompt.
fn evidence_report(key: u64, software: software_key::SoftwareKey) -> origin_report::OriginReport {
    origin_report::OriginReport {
        stream: key,
        software,
        remaining: EVIDENCE_LIFETIME,
        prompt: None,
    }
}
