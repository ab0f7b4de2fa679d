//! Engines that may be sent a prompt, by the versions that were sent it before.

use std::{collections, time};

use super::core_software;
use crate::{
    backend, backend_entry, instance_update, origin_report, prompt_terms, relay_core, software_key,
    stream_request,
};

/// Number of decode engines that a version needs so that prompts are bound to it which no prefill engine was
/// sent: with one alone, a prompt that it fails goes to another version.
const MIN_BINDING_ENGINES: usize = 2;

/// Decode engines of a software version that take new work.
struct ServingEngines {
    count: usize,
    /// Engine with the largest weight for a prompt.
    repeat_engine: backend::BackendKey,
    largest_weight: u64,
}

/// Decode engines that take new work, by version.
type ServingVersions = collections::BTreeMap<software_key::SoftwareKey, ServingEngines>;

impl relay_core::RelayCore {
    /// Returns the software version that a prompt is bound to by the hash of its last part: one of which
    /// a prefill engine was sent the prompt and a decode engine may have read it, as long as it has a decode
    /// engine that takes new work, or another one that was sent it and has two.
    #[must_use]
    pub fn prompt_software(
        &self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
        part: u64,
    ) -> Option<software_key::SoftwareKey> {
        if !self.has_several_versions(now, instance_update::service_hash(service)) {
            return None;
        }
        let serving = self.serving_versions(service, part, &[]);
        let engines = |software| serving.get(&software).map_or(0, |engines| engines.count);
        let is_barred = |software| {
            self.version_access(now, part, software) == prompt_terms::VersionAccess::Barred
        };
        let mut read = self.prompts.readers(now, part);
        let read = read.find(|software| engines(*software) > 0 && !is_barred(*software));
        if read.is_some() {
            return read;
        }
        // Instances of earlier releases tell of prompts under keys of their own.
        let sent_key = origin_report::sent_prompt_key(part);
        let told = self.origins.software(now, sent_key);
        self.prompts
            .versions(now, part)
            .chain(told)
            .chain(self.read_at(now, part, time::Duration::ZERO))
            .find(|software| engines(*software) >= MIN_BINDING_ENGINES && !is_barred(*software))
    }

    /// Returns the engines that may be sent the prompt of a request.
    ///
    /// A version is sent a prompt without a prefill engine, and at one decode engine alone, while a stream
    /// may be taken up that began with it elsewhere. So the memory of the engines shows which version was
    /// sent a prompt first. An instance that doesn't know the prompts of before takes every one for such a
    /// prompt. A version that was sent it first is sent it no more while a stream may be taken up that began
    /// with it elsewhere later.
    pub(super) fn prompt_terms(
        &self,
        now: clock::Timestamp,
        request: &stream_request::StreamRequest,
    ) -> prompt_terms::PromptTerms {
        let Some(part) = request.part else {
            return prompt_terms::PromptTerms::unrestricted();
        };
        let serving = self.serving_versions(&request.service, part, &[]);
        let service = instance_update::service_hash(&request.service);
        let knows_prompts = self.knows_prompts(now, service);
        let may_be_repeat =
            !knows_prompts || self.prompts.may_be_open_elsewhere(now, part, service);
        let others = self.serving_versions(&request.service, part, &request.avoid);
        let versions = serving.iter().map(|(software, engines)| {
            let mut repeat_engine = engines.repeat_engine;
            let access = match self.version_access(now, part, *software) {
                prompt_terms::VersionAccess::Barred if request.resumes => {
                    prompt_terms::VersionAccess::First
                }
                prompt_terms::VersionAccess::First
                    if may_be_repeat && !self.prompts.was_sent_first(now, part, *software) =>
                {
                    // The search that has to see the mark is over.
                    let next = others.get(software).filter(|_| knows_prompts);
                    repeat_engine = next.map_or(repeat_engine, |engines| engines.repeat_engine);
                    prompt_terms::VersionAccess::Repeat
                }
                access => access,
            };
            let terms = prompt_terms::VersionTerms {
                repeat_engine,
                access,
            };
            (*software, terms)
        });
        prompt_terms::PromptTerms::new(versions)
    }

    /// Returns which engines of a version may be sent a prompt, by what instances know that the versions were
    /// sent.
    fn version_access(
        &self,
        now: clock::Timestamp,
        part: u64,
        software: software_key::SoftwareKey,
    ) -> prompt_terms::VersionAccess {
        let was_sent_first = self.prompts.was_sent_first(now, part, software);
        match (
            self.prompts.is_open_elsewhere(now, part, software),
            was_sent_first,
        ) {
            (false, _) => prompt_terms::VersionAccess::First,
            (true, false) => prompt_terms::VersionAccess::Repeat,
            (true, true) => prompt_terms::VersionAccess::Barred,
        }
    }

    /// Returns the only decode engine of a version that takes new work; `None` if there are none or several.
    pub(super) fn only_engine(
        &self,
        service: &ids::ServiceName,
        software: software_key::SoftwareKey,
    ) -> Option<backend::BackendKey> {
        let serving = self.serving_versions(service, 0, &[]);
        let engines = serving.get(&software).filter(|engines| engines.count == 1);
        engines.map(|engines| engines.repeat_engine)
    }

    /// Records that no decode engine of a version has read the prompt of a stream, after an attempt there has
    /// failed. If the version has no other decode engine, the stream may begin at another version.
    pub fn record_unread_prompt(
        &mut self,
        service: &ids::ServiceName,
        report: &origin_report::OriginReport,
    ) {
        if self.only_engine(service, report.software).is_some() {
            self.prompts.record_unread(report);
        }
    }

    /// Returns whether this instance knows of the prompts of all streams of a service that may be taken up,
    /// or no search for the streams of before will see what it sends: it has followed the list for as long as
    /// streams last, others have told it, or the engines have been asked.
    pub(super) fn knows_prompts(&self, now: clock::Timestamp, service: u64) -> bool {
        let has_learnt = now.since(clock::Timestamp::default()) >= core_software::LEARNING_TIME;
        let has_followed = self.software_history.span(now) >= self.lifetimes.longest(now);
        if has_followed && (has_learnt || !self.has_several_versions(now, service)) {
            return true;
        }
        if self.others_have_lived_on(now) {
            return has_learnt;
        }
        let is_settled = self.searches.is_settled(now, service);
        is_settled.unwrap_or(self.has_sought_after_start)
    }

    /// Returns the decode engines of a service that take new work, without some, by version.
    fn serving_versions(
        &self,
        service: &ids::ServiceName,
        part: u64,
        avoid: &[backend::BackendKey],
    ) -> ServingVersions {
        let engines = self.backends.table().iter().filter(|(key, engine)| {
            engine.listed
                && !avoid.contains(key)
                && !engine.entry.leaving
                && engine.entry.service == *service
                && engine.entry.stage == Some(backend_entry::EngineStage::Decode)
        });
        let mut versions = ServingVersions::new();
        for (key, engine) in engines {
            let weight = prompt_terms::engine_weight(part, &engine.entry.server);
            let serving = versions.entry(engine.software).or_insert(ServingEngines {
                count: 0,
                repeat_engine: key,
                largest_weight: weight,
            });
            serving.count += 1;
            if weight > serving.largest_weight {
                serving.largest_weight = weight;
                serving.repeat_engine = key;
            }
        }
        versions
    }
}
