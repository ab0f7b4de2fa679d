//! Entries of one kind by name, cheap to copy and to digest.

use std::{collections::BTreeMap, ops, sync};

use crate::note_entry;

/// Entries of one kind by name, cheap to copy and to digest.
///
/// A copy shares the entries until one of the copies changes. The sum of the entries' hashes is
/// kept up to date with each change, so that a digest doesn't read the entries. Reading works as
/// for a [`BTreeMap`].
#[derive(Clone, Debug)]
pub struct EntryMap<Name, Entry> {
    entries: sync::Arc<BTreeMap<Name, sync::Arc<Entry>>>,
    /// Wrapping sum of the hashes of all entries, which doesn't depend on their order.
    sum: u128,
}

impl<Name, Entry> EntryMap<Name, Entry> {
    /// Returns the sum of the hashes of all entries.
    #[must_use]
    pub const fn sum(&self) -> u128 {
        self.sum
    }
}

impl<Name: Clone + Ord, Entry: note_entry::NoteEntry> EntryMap<Name, Entry> {
    /// Inserts an entry and returns the one of the same name that it replaces.
    pub fn insert(
        &mut self,
        name: Name,
        entry: impl Into<sync::Arc<Entry>>,
    ) -> Option<sync::Arc<Entry>> {
        let entry = entry.into();
        self.sum = self.sum.wrapping_add(entry_hash(&*entry));
        let replaced = sync::Arc::make_mut(&mut self.entries).insert(name, entry);
        self.subtract(replaced.as_deref());
        replaced
    }

    /// Removes and returns an entry.
    pub fn remove(&mut self, name: &Name) -> Option<sync::Arc<Entry>> {
        if !self.entries.contains_key(name) {
            return None;
        }
        let removed = sync::Arc::make_mut(&mut self.entries).remove(name);
        self.subtract(removed.as_deref());
        removed
    }

    fn subtract(&mut self, entry: Option<&Entry>) {
        if let Some(entry) = entry {
            self.sum = self.sum.wrapping_sub(entry_hash(entry));
        }
    }
}

impl<Name, Entry> Default for EntryMap<Name, Entry> {
    fn default() -> Self {
        Self {
            entries: sync::Arc::default(),
            sum: 0,
        }
    }
}

impl<Name: PartialEq, Entry: PartialEq> PartialEq for EntryMap<Name, Entry> {
    fn eq(&self, other: &Self) -> bool {
        sync::Arc::ptr_eq(&self.entries, &other.entries) || self.entries == other.entries
    }
}

impl<Name: Eq, Entry: Eq> Eq for EntryMap<Name, Entry> {}

impl<Name, Entry> ops::Deref for EntryMap<Name, Entry> {
    type Target = BTreeMap<Name, sync::Arc<Entry>>;

    fn deref(&self) -> &Self::Target {
        &self.entries
    }
}

impl<'a, Name, Entry> IntoIterator for &'a EntryMap<Name, Entry> {
    type Item = (&'a Name, &'a sync::Arc<Entry>);
    type IntoIter = std::collections::btree_map::Iter<'a, Name, sync::Arc<Entry>>;

    fn into_iter(self) -> Self::IntoIter {
        self.entries.iter()
    }
}

impl<Name: Clone + Ord, Entry: note_entry::NoteEntry> FromIterator<(Name, Entry)>
    for EntryMap<Name, Entry>
{
    fn from_iter<Pairs: IntoIterator<Item = (Name, Entry)>>(pairs: Pairs) -> Self {
        let mut map = Self::default();
        for (name, entry) in pairs {
            map.insert(name, entry);
        }
        map
    }
}

impl<Name: serde::Serialize, Entry: serde::Serialize> serde::Serialize for EntryMap<Name, Entry> {
    fn serialize<Target: serde::Serializer>(
        &self,
        serializer: Target,
    ) -> Result<Target::Ok, Target::Error> {
        self.entries.serialize(serializer)
    }
}

impl<'de, Name, Entry> serde::Deserialize<'de> for EntryMap<Name, Entry>
where
    Name: Clone + Ord + serde::Deserialize<'de>,
    Entry: note_entry::NoteEntry + serde::Deserialize<'de>,
{
    fn deserialize<Source: serde::Deserializer<'de>>(
        deserializer: Source,
    ) -> Result<Self, Source::Error> {
        let entries = BTreeMap::<Name, Entry>::deserialize(deserializer)?;
        Ok(entries.into_iter().collect())
    }
}

/// Returns the hash of an entry with its name and kind.
fn entry_hash<Entry: note_entry::NoteEntry>(entry: &Entry) -> u128 {
    let kind: &str = Entry::KIND.into();
    let seed = xxhash_rust::xxh3::xxh3_64(kind.as_bytes());
    let text = serde_json::to_vec(entry).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_128_with_seed(&text, seed)
}
