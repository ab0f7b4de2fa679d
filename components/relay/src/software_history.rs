//! Software versions that the platform's list has contained recently.

use std::{collections, time};

use crate::{backend_entry, software_key};

/// Longest time from the begin of a stream until its caller takes it up.
const STREAM_LIFETIME: time::Duration = time::Duration::from_secs(30);

/// Software versions that the platform's list has contained recently.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// Time at which the list was first seen without a version; `None` while it contains one.
    versions: collections::BTreeMap<software_key::SoftwareKey, Option<clock::Timestamp>>,
}

impl SoftwareHistory {
    /// Applies the entries of the platform's list.
    pub fn apply_list<'a>(
        &mut self,
        now: clock::Timestamp,
        entries: impl Iterator<Item = &'a backend_entry::BackendEntry>,
    ) {
        let listed: collections::BTreeSet<_> = entries.map(software_key::SoftwareKey::of).collect();
        for (software, gone_at) in &mut self.versions {
            if !listed.contains(software) {
                gone_at.get_or_insert(now);
            }
        }
        self.versions
            .extend(listed.into_iter().map(|software| (software, None)));
        self.versions
            .retain(|_, gone_at| gone_at.is_none_or(|at| now.since(at) < STREAM_LIFETIME));
    }

    /// Returns the versions of a service at which a stream that is taken up now may have begun.
    pub fn versions(
        &self,
        now: clock::Timestamp,
        service: u64,
    ) -> impl Iterator<Item = software_key::SoftwareKey> {
        self.versions
            .iter()
            .filter(move |(software, _)| software.service == service)
            .filter(move |(_, gone_at)| gone_at.is_none_or(|at| now.since(at) < STREAM_LIFETIME))
            .map(|(software, _)| *software)
    }
}
