//! Map of the entries of one kind by name, cheap to clone and to digest.

use std::{collections, ops, sync};

use crate::note_entry;

/// Map of the entries of one kind by name, cheap to clone and to digest.
///
/// A clone shares the entries, and a change copies only the tree path to one entry. The sum of the
/// entries' hashes is updated with each change, so that a digest doesn't have to read all entries.
/// The map dereferences to a [`imbl::OrdMap`] for read access.
#[derive(Clone, Debug)]
pub struct EntryMap<Name: Ord, Entry> {
    entries: imbl::OrdMap<Name, sync::Arc<Entry>>,
    /// Wrapping sum of the hashes of all entries; independent of their order.
    sum: u128,
}

impl<Name: Ord, Entry> EntryMap<Name, Entry> {
    /// Returns the sum of the hashes of all entries.
    #[must_use]
    pub const fn sum(&self) -> u128 {
        self.sum
    }

    /// Returns the entries that differ in `after`, each as a pair of the old and the new entry.
    ///
    /// When one map was derived from the other, the cost grows with the number of differences, not
    /// with the number of entries.
    pub fn changes<'a>(
        &'a self,
        after: &'a Self,
    ) -> impl Iterator<Item = (Option<&'a Entry>, Option<&'a Entry>)>
    where
        Entry: PartialEq,
    {
        use imbl::ordmap::DiffItem;
        self.entries.diff(&after.entries).map(|item| match item {
            DiffItem::Add(_, new) => (None, Some(&**new)),
            DiffItem::Update { old, new } => (Some(&**old.1), Some(&**new.1)),
            DiffItem::Remove(_, old) => (Some(&**old), None),
        })
    }
}

impl<Name: Clone + Ord, Entry: note_entry::NoteEntry> EntryMap<Name, Entry> {
    /// Inserts an entry and returns the replaced entry of the same name.
    pub fn insert(
        &mut self,
        name: Name,
        entry: impl Into<sync::Arc<Entry>>,
    ) -> Option<sync::Arc<Entry>> {
        let entry = entry.into();
        self.sum = self.sum.wrapping_add(entry_hash(&*entry));
        let replaced = self.entries.insert(name, entry);
        self.subtract(replaced.as_deref());
        replaced
    }

    /// Removes an entry and returns it.
    pub fn remove(&mut self, name: &Name) -> Option<sync::Arc<Entry>> {
        let removed = self.entries.remove(name);
        self.subtract(removed.as_deref());
        removed
    }

    fn subtract(&mut self, entry: Option<&Entry>) {
        if let Some(entry) = entry {
            self.sum = self.sum.wrapping_sub(entry_hash(entry));
        }
    }
}

impl<Name: Ord, Entry> Default for EntryMap<Name, Entry> {
    fn default() -> Self {
        Self {
            entries: imbl::OrdMap::new(),
            sum: 0,
        }
    }
}

impl<Name: Ord, Entry: PartialEq> PartialEq for EntryMap<Name, Entry> {
    fn eq(&self, other: &Self) -> bool {
        self.entries.ptr_eq(&other.entries) || self.entries.iter().eq(other.entries.iter())
    }
}

impl<Name: Ord, Entry: Eq> Eq for EntryMap<Name, Entry> {}

impl<Name: Ord, Entry> ops::Deref for EntryMap<Name, Entry> {
    type Target = imbl::OrdMap<Name, sync::Arc<Entry>>;

    fn deref(&self) -> &Self::Target {
        &self.entries
    }
}

impl<'a, Name: Ord, Entry> IntoIterator for &'a EntryMap<Name, Entry> {
    type Item = (&'a Name, &'a sync::Arc<Entry>);
    type IntoIter =
        imbl::ordmap::Iter<'a, Name, sync::Arc<Entry>, imbl::shared_ptr::DefaultSharedPtr>;

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

impl<Name: Ord + serde::Serialize, Entry: serde::Serialize> serde::Serialize
    for EntryMap<Name, Entry>
{
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
        let entries = collections::BTreeMap::<Name, Entry>::deserialize(deserializer)?;
        Ok(entries.into_iter().collect())
    }
}

/// Returns the hash of an entry, which includes its name and kind.
fn entry_hash<Entry: note_entry::NoteEntry>(entry: &Entry) -> u128 {
    let kind: &str = Entry::KIND.into();
    let seed = xxhash_rust::xxh3::xxh3_64(kind.as_bytes());
    let text = serde_json::to_vec(entry).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_128_with_seed(&text, seed)
}
