//! Which part of a divided base note a text is.

/// Which part of a divided base note a text is.
///
/// The parts of a base note share its revision. They come into force together, once all of them
/// are there, and are validated as one note.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct NotePart {
    /// Number of the part, from one.
    pub number: u32,
    /// Number of parts the base note is divided into, at most [`crate::PART_LIMIT`].
    pub count: u32,
}
