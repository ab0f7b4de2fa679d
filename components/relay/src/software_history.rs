//! Software versions that the platform's list has contained recently.

use std::{collections, time};

use crate::{backend_entry, software_key};

/// Software versions that the platform's list has contained recently, and since when they are known.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// Time at which the list was first seen without a version; `None` while it contains one.
    versions: collections::BTreeMap<software_key::SoftwareKey, Option<clock::Timestamp>>,
    /// Time of the first list.
    followed_from: Option<clock::Timestamp>,
    /// Time before the first list for which another instance has told the versions.
    told: time::Duration,
}

impl SoftwareHistory {
    /// Applies the entries of the platform's list; `lifetime` is the longest time for which a stream may be
    /// open.
    pub fn apply_list<'a>(
        &mut self,
        now: clock::Timestamp,
        entries: impl Iterator<Item = &'a backend_entry::BackendEntry>,
        lifetime: time::Duration,
    ) {
        self.followed_from.get_or_insert(now);
        let listed: collections::BTreeSet<_> = entries.map(software_key::SoftwareKey::of).collect();
        for (software, gone_at) in &mut self.versions {
            if !listed.contains(software) {
                gone_at.get_or_insert(now);
            }
        }
        self.versions
            .extend(listed.into_iter().map(|software| (software, None)));
        self.versions
            .retain(|_, gone_at| gone_at.is_none_or(|at| now.since(at) < lifetime));
    }

    /// Forgets since when the versions are known: lists between the last one and the next one weren't
    /// seen.
    pub fn restart(&mut self, now: clock::Timestamp) {
        if self.followed_from.is_some() {
            self.followed_from = Some(now);
            self.told = time::Duration::ZERO;
        }
    }

    /// Applies the versions that another instance has seen in the list for `span` up to now. Those that
    /// the list doesn't contain count as gone now.
    pub fn apply_report(
        &mut self,
        now: clock::Timestamp,
        span: time::Duration,
        versions: &[software_key::SoftwareKey],
    ) {
        let Some(followed_from) = self.followed_from else {
            return;
        };
        for software in versions {
            self.versions.entry(*software).or_insert(Some(now));
        }
        self.told = self.told.max(span.saturating_sub(now.since(followed_from)));
    }

    /// Returns the time up to now for which all versions of the list are known.
    #[must_use]
    pub fn span(&self, now: clock::Timestamp) -> time::Duration {
        self.followed_from
            .map_or(time::Duration::ZERO, |from| now.since(from) + self.told)
    }

    /// Returns the versions of all services that the list has contained recently.
    pub fn all_versions(&self) -> impl Iterator<Item = software_key::SoftwareKey> {
        self.versions.keys().copied()
    }

    /// Returns the versions of a service at which a stream that is taken up now may have begun, if it may be
    /// open for `lifetime`.
    pub fn versions(
        &self,
        now: clock::Timestamp,
        service: u64,
        lifetime: time::Duration,
    ) -> impl Iterator<Item = software_key::SoftwareKey> {
        self.versions
            .iter()
            .filter(move |(software, _)| software.service == service)
            .filter(move |(_, gone_at)| gone_at.is_none_or(|at| now.since(at) < lifetime))
            .map(|(software, _)| *software)
    }
}
