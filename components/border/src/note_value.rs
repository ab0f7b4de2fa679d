//! A value of the configuration service.

/// A value of the configuration service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct NoteValue {
    /// Revision under which the service serves the value.
    pub revision: ids::Revision,
    /// Text of the release note.
    pub text: String,
}
