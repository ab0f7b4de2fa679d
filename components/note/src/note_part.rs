//! Part number and part count of a split base note.

/// Number of a part of a split base note, with the count of the parts.
///
/// The parts of a base note have the same revision. They are validated as one note and come into
/// force together, once all of them were received.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct NotePart {
    /// Number of the part, starting at one.
    pub number: u32,
    /// Number of parts of the base note, at most [`crate::PART_LIMIT`].
    pub count: u32,
}
