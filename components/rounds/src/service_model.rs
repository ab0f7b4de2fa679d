//! The configuration service, as far as its readers notice.

use std::collections;

/// How the configuration service behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServiceHealth {
    /// It serves what was published.
    #[default]
    Up,
    /// Calls fail.
    Down,
    /// It serves only what was published up to a revision.
    Stale(ids::Revision),
    /// Calls are never answered.
    Silent,
}

/// The configuration service, as far as its readers notice.
#[derive(Clone, Debug, Default)]
pub struct ServiceModel {
    /// How the service behaves.
    pub health: ServiceHealth,
    values: collections::BTreeMap<ids::Revision, Vec<border::NoteValue>>,
    /// Latest base note.
    base: ids::Revision,
}

impl ServiceModel {
    /// Publishes a text, or one more part of a divided base note.
    pub fn publish(&mut self, revision: ids::Revision, text: String, base: bool) {
        if base {
            self.base = revision;
        }
        self.values
            .entry(revision)
            .or_default()
            .push(border::NoteValue { revision, text });
    }

    /// Returns the latest revision that is served.
    #[must_use]
    pub fn latest(&self) -> ids::Revision {
        let published = self.values.keys().next_back().copied().unwrap_or_default();
        match self.health {
            ServiceHealth::Stale(revision) => published.min(revision),
            _ => published,
        }
    }

    /// Returns the values after a revision, from the latest base note on if that is later.
    #[must_use]
    pub fn after(&self, revision: ids::Revision) -> Vec<border::NoteValue> {
        let latest = self.latest();
        let first = if self.base <= latest {
            revision.next().max(self.base)
        } else {
            revision.next()
        };
        if first > latest {
            return Vec::new();
        }
        let values = self.values.range(first..=latest);
        values.flat_map(|(_, values)| values.clone()).collect()
    }
}
