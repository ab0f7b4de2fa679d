//! Locations of values in a YAML text.

use std::fmt;

use crate::fault_location;

/// A YAML value with the locations of the values in it.
#[derive(Debug)]
enum YamlTree {
    Scalar(String),
    List(Vec<serde_saphyr::Spanned<YamlTree>>),
    Map(
        Vec<(
            serde_saphyr::Spanned<String>,
            serde_saphyr::Spanned<YamlTree>,
        )>,
    ),
}

impl YamlTree {
    fn get(&self, key: &str) -> Option<&serde_saphyr::Spanned<Self>> {
        let Self::Map(pairs) = self else {
            return None;
        };
        pairs
            .iter()
            .find(|(name, _)| name.value == key)
            .map(|(_, value)| value)
    }

    fn items(&self) -> &[serde_saphyr::Spanned<Self>] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    /// Returns whether this value is an entry with the name `name`, or the scalar `name`.
    fn is_named(&self, name: &str) -> bool {
        match self {
            Self::Scalar(text) => text == name,
            Self::Map(_) => self
                .get("name")
                .is_some_and(|value| value.value.is_named(name)),
            Self::List(_) => false,
        }
    }

    /// Returns the value of a field of this entry, at any depth.
    fn field(&self, field: &str) -> Option<&serde_saphyr::Spanned<Self>> {
        let Self::Map(pairs) = self else {
            return None;
        };
        self.get(field)
            .or_else(|| pairs.iter().find_map(|(_, value)| value.value.field(field)))
    }
}

impl<'de> serde::Deserialize<'de> for YamlTree {
    fn deserialize<Source: serde::Deserializer<'de>>(
        deserializer: Source,
    ) -> Result<Self, Source::Error> {
        deserializer.deserialize_any(TreeVisitor)
    }
}

struct TreeVisitor;

impl<'de> serde::de::Visitor<'de> for TreeVisitor {
    type Value = YamlTree;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("any YAML value")
    }

    fn visit_str<Fault: serde::de::Error>(self, text: &str) -> Result<YamlTree, Fault> {
        Ok(YamlTree::Scalar(text.to_owned()))
    }

    fn visit_bool<Fault: serde::de::Error>(self, value: bool) -> Result<YamlTree, Fault> {
        Ok(YamlTree::Scalar(value.to_string()))
    }

    fn visit_u64<Fault: serde::de::Error>(self, value: u64) -> Result<YamlTree, Fault> {
        Ok(YamlTree::Scalar(value.to_string()))
    }

    fn visit_i64<Fault: serde::de::Error>(self, value: i64) -> Result<YamlTree, Fault> {
        Ok(YamlTree::Scalar(value.to_string()))
    }

    fn visit_f64<Fault: serde::de::Error>(self, value: f64) -> Result<YamlTree, Fault> {
        Ok(YamlTree::Scalar(value.to_string()))
    }

    fn visit_unit<Fault: serde::de::Error>(self) -> Result<YamlTree, Fault> {
        Ok(YamlTree::Scalar(String::new()))
    }

    fn visit_seq<Items: serde::de::SeqAccess<'de>>(
        self,
        mut items: Items,
    ) -> Result<YamlTree, Items::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            list.push(item);
        }
        Ok(YamlTree::List(list))
    }

    fn visit_map<Pairs: serde::de::MapAccess<'de>>(
        self,
        mut pairs: Pairs,
    ) -> Result<YamlTree, Pairs::Error> {
        let mut map = Vec::new();
        while let Some(pair) = pairs.next_entry()? {
            map.push(pair);
        }
        Ok(YamlTree::Map(map))
    }
}

/// Locations of entries and fields in the YAML text of a note.
pub(crate) struct YamlLocations {
    root: Option<YamlTree>,
}

impl YamlLocations {
    /// Parses a text; a text that isn't YAML has no locations.
    pub(crate) fn new(text: &str) -> Self {
        Self {
            root: serde_saphyr::from_str(text).ok(),
        }
    }

    /// Returns the location of the field, or else of the entry, or else of the list of entries.
    pub(crate) fn find(
        &self,
        target: &fault_location::FaultLocation,
    ) -> Option<serde_saphyr::Location> {
        let section: &str = target.section.into();
        let kind: &str = target.kind.into();
        let list = self.root.as_ref()?.get(section)?.value.get(kind)?;
        // Of two entries with the same name, the later one is the duplicate.
        let entries = list.value.items().iter();
        let Some(entry) = entries
            .rev()
            .find(|entry| entry.value.is_named(&target.name))
        else {
            return Some(list.referenced);
        };
        let field = target.field.and_then(|field| entry.value.field(field));
        Some(field.unwrap_or(entry).referenced)
    }

    /// Returns the location of the value of a top-level key.
    pub(crate) fn find_key(&self, key: &str) -> Option<serde_saphyr::Location> {
        let value = self.root.as_ref()?.get(key)?;
        Some(value.referenced)
    }
}
