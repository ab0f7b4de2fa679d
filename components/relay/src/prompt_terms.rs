//! Engines that may be sent a prompt.

use std::{collections, time};

use crate::{backend, software_key};

/// Cost of the repeat engine of a prompt for other requests, as time.
const REPEAT_ENGINE_COST: time::Duration = time::Duration::from_millis(40);

/// Engines of a software version that may be sent a prompt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VersionTerms {
    /// Decode engine that reads the prompt if another version was sent it first, found by rendezvous
    /// hashing.
    pub(crate) repeat_engine: backend::BackendKey,
    pub(crate) access: VersionAccess,
}

/// Engines of a software version that may be sent a prompt, by what the versions were sent before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum VersionAccess {
    /// All engines: no other version was sent the prompt first.
    First,
    /// The repeat engine without a prefill engine: another version was sent the prompt first.
    Repeat,
    /// None: a prefill engine was sent the prompt, and another version was sent it after that, so that the
    /// engines' memory would show the wrong version.
    Barred,
}

/// Engines of each software version that may be sent a prompt. Versions without terms may be sent it at
/// any engine.
#[derive(Clone, Debug, Default)]
pub struct PromptTerms {
    versions: collections::BTreeMap<software_key::SoftwareKey, VersionTerms>,
}

impl PromptTerms {
    /// Returns the terms of some versions.
    pub(crate) fn new(
        versions: impl Iterator<Item = (software_key::SoftwareKey, VersionTerms)>,
    ) -> Self {
        Self {
            versions: versions.collect(),
        }
    }

    /// Returns terms that allow every engine.
    #[must_use]
    pub const fn unrestricted() -> Self {
        Self {
            versions: collections::BTreeMap::new(),
        }
    }

    /// Returns whether a decode engine may read the prompt.
    pub(crate) fn allow(&self, key: backend::BackendKey, engine: &backend::Backend) -> bool {
        self.versions
            .get(&engine.software)
            .is_none_or(|terms| match terms.access {
                VersionAccess::First => true,
                VersionAccess::Repeat => terms.repeat_engine == key,
                VersionAccess::Barred => false,
            })
    }

    /// Returns whether the decode engines of a version read the prompt themselves.
    pub(crate) fn are_without_prefill(&self, software: software_key::SoftwareKey) -> bool {
        self.versions
            .get(&software)
            .is_some_and(|terms| terms.access == VersionAccess::Repeat)
    }

    /// Returns whether no engine may be sent the prompt.
    pub(crate) fn allow_none(&self) -> bool {
        let mut versions = self.versions.values();
        !self.versions.is_empty() && versions.all(|terms| terms.access == VersionAccess::Barred)
    }

    /// Returns the cost of a decode engine that is left to prompts which another version was sent.
    pub(crate) fn cost(
        &self,
        key: backend::BackendKey,
        engine: &backend::Backend,
    ) -> time::Duration {
        let terms = self.versions.get(&engine.software);
        match terms {
            Some(terms) if terms.access == VersionAccess::First && terms.repeat_engine == key => {
                REPEAT_ENGINE_COST
            }
            _ => time::Duration::ZERO,
        }
    }
}

/// Returns the weight of an engine for a prompt, by the hash of its last part. Of the decode engines of a
/// version the one with the largest weight is the repeat engine.
pub(crate) fn engine_weight(part: u64, server: &ids::ServerName) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(server.as_str().as_bytes(), part)
}
