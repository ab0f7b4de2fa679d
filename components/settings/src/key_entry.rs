//! The keys that settings may have, taken from their schema.

use crate::instance_settings;

/// One key that settings may have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyEntry {
    /// The key, with the sections it stands in, joined by dots.
    pub key: String,
    /// What the key means, with its unit.
    pub description: String,
    /// The value taken when the key is absent, as JSON; `None` for a key that must be given or that
    /// has no value when absent.
    pub default: Option<String>,
    /// Whether the key must be given.
    pub required: bool,
}

/// Returns every key that settings may have, sections left out, in the order of their names.
#[must_use]
pub fn key_entries() -> Vec<KeyEntry> {
    let schema = instance_settings::InstanceSettings::schema();
    let root = schema.as_value();
    let mut entries = Vec::new();
    collect(root, root, None, "", &mut entries);
    entries
}

fn collect(
    root: &serde_json::Value,
    section: &serde_json::Value,
    section_default: Option<&serde_json::Value>,
    prefix: &str,
    entries: &mut Vec<KeyEntry>,
) {
    let Some(properties) = section["properties"].as_object() else {
        return;
    };
    for (name, property) in properties {
        let key = format!("{prefix}{name}");
        let target = resolve(root, property);
        let default = section_default
            .and_then(|value| value.get(name))
            .or_else(|| property.get("default"));
        if target.get("properties").is_some() {
            collect(root, target, default, &format!("{key}."), entries);
            continue;
        }
        entries.push(KeyEntry {
            key,
            description: description(property, target),
            default: default
                .filter(|value| !value.is_null())
                .map(ToString::to_string),
            required: is_required(section, name),
        });
    }
}

fn resolve<'root>(
    root: &'root serde_json::Value,
    property: &'root serde_json::Value,
) -> &'root serde_json::Value {
    property["$ref"]
        .as_str()
        .and_then(|reference| root.pointer(reference.trim_start_matches('#')))
        .unwrap_or(property)
}

fn description(property: &serde_json::Value, target: &serde_json::Value) -> String {
    let text = property["description"]
        .as_str()
        .or_else(|| target["description"].as_str())
        .unwrap_or_default();
    text.replace('\n', " ")
}

fn is_required(section: &serde_json::Value, name: &str) -> bool {
    section["required"]
        .as_array()
        .is_some_and(|names| names.iter().any(|entry| entry == name))
}
