//! The keys of a YAML document and where they stand.

use std::{collections, fmt};

use serde::de;

/// The keys of a YAML document and where they stand; values are dropped.
#[derive(Debug, Default)]
pub(crate) struct KeyTree {
    children: collections::BTreeMap<String, KeyNode>,
}

/// One key with its place and the keys below it.
#[derive(Debug)]
struct KeyNode {
    key: serde_saphyr::Location,
    value: serde_saphyr::Location,
    below: KeyTree,
}

impl KeyTree {
    /// Reads the keys of `text`; a text that isn't YAML has none.
    pub(crate) fn from_yaml(text: &str) -> Self {
        serde_saphyr::from_str(text).unwrap_or_default()
    }

    /// Returns where the value of a dotted key stands, or that of the nearest section above it.
    pub(crate) fn value_location(&self, key: &str) -> Option<serde_saphyr::Location> {
        let mut tree = self;
        let mut found = None;
        for part in key.split('.') {
            let Some(node) = tree.children.get(part) else {
                break;
            };
            found = Some(if node.below.children.is_empty() {
                node.value
            } else {
                node.key
            });
            tree = &node.below;
        }
        found
    }

    /// Returns whether a dotted key is there.
    pub(crate) fn contains(&self, key: &str) -> bool {
        let mut tree = self;
        key.split('.').all(|part| {
            let node = tree.children.get(part);
            node.inspect(|node| tree = &node.below).is_some()
        })
    }

    /// Returns the dotted key whose key or value stands at `location`.
    pub(crate) fn key_at(&self, location: serde_saphyr::Location) -> Option<String> {
        for (name, node) in &self.children {
            if let Some(below) = node.below.key_at(location) {
                return Some(format!("{name}.{below}"));
            }
            if same_place(node.key, location) || same_place(node.value, location) {
                return Some(name.clone());
            }
        }
        None
    }
}

fn same_place(one: serde_saphyr::Location, other: serde_saphyr::Location) -> bool {
    one.line() == other.line() && one.column() == other.column()
}

impl<'de> de::Deserialize<'de> for KeyTree {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(TreeVisitor)
    }
}

/// Collects the keys of a mapping and ignores everything else.
struct TreeVisitor;

impl<'de> de::Visitor<'de> for TreeVisitor {
    type Value = KeyTree;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a YAML document")
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<KeyTree, A::Error> {
        let mut tree = KeyTree::default();
        while let Some(key) = map.next_key::<serde_saphyr::Spanned<String>>()? {
            let value = map.next_value::<serde_saphyr::Spanned<KeyTree>>()?;
            let node = KeyNode {
                key: key.referenced,
                value: value.referenced,
                below: value.value,
            };
            tree.children.insert(key.value, node);
        }
        Ok(tree)
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut items: A) -> Result<KeyTree, A::Error> {
        while items.next_element::<de::IgnoredAny>()?.is_some() {}
        Ok(KeyTree::default())
    }

    fn visit_bool<E>(self, _: bool) -> Result<KeyTree, E> {
        Ok(KeyTree::default())
    }

    fn visit_i64<E>(self, _: i64) -> Result<KeyTree, E> {
        Ok(KeyTree::default())
    }

    fn visit_u64<E>(self, _: u64) -> Result<KeyTree, E> {
        Ok(KeyTree::default())
    }

    fn visit_f64<E>(self, _: f64) -> Result<KeyTree, E> {
        Ok(KeyTree::default())
    }

    fn visit_str<E>(self, _: &str) -> Result<KeyTree, E> {
        Ok(KeyTree::default())
    }

    fn visit_unit<E>(self) -> Result<KeyTree, E> {
        Ok(KeyTree::default())
    }

    fn visit_none<E>(self) -> Result<KeyTree, E> {
        Ok(KeyTree::default())
    }

    fn visit_some<D: de::Deserializer<'de>>(self, deserializer: D) -> Result<KeyTree, D::Error> {
        de::Deserialize::deserialize(deserializer)
    }
}
