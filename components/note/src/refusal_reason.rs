//! Why a release note is refused.

/// Why a release note is refused; the same on every instance.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, thiserror::Error, strum::IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The text isn't a release note.
    #[error("the text isn't a release note: {detail}")]
    Unreadable {
        /// What is wrong, with line and column.
        detail: String,
    },
    /// The text is larger than a value of the configuration service may be.
    #[error(
        "the note has {bytes} bytes; at most {} are allowed",
        crate::NOTE_LIMIT_BYTES
    )]
    TooLarge {
        /// Size of the text.
        bytes: usize,
    },
    /// The service serves the note under another revision than the note says.
    #[error("the note says revision {found}, but is served as revision {served}")]
    RevisionMismatch {
        /// Revision in the note.
        found: ids::Revision,
        /// Revision under which the note is served.
        served: ids::Revision,
    },
    /// An incremental note doesn't follow the revision in force.
    #[error("revision {found} doesn't follow revision {in_force}, which is in force")]
    RevisionGap {
        /// Revision of the note.
        found: ids::Revision,
        /// Revision in force.
        in_force: ids::Revision,
    },
    /// A base note changes or withdraws something, or is divided wrongly.
    #[error("{detail}")]
    WrongBase {
        /// What is wrong.
        detail: String,
    },
    /// A note names something that doesn't exist.
    #[error("{key} names `{name}`, which doesn't exist")]
    DanglingReference {
        /// Key of the note that holds the name.
        key: String,
        /// The missing name.
        name: String,
    },
    /// A note withdraws something that is still needed.
    #[error("{key} withdraws `{name}`, which {needed_by} still needs")]
    StillNeeded {
        /// Key of the note that holds the name.
        key: String,
        /// The withdrawn name.
        name: String,
        /// An entry that needs it, with its kind.
        needed_by: String,
    },
    /// An added entry exists already.
    #[error("{key} adds `{name}`, which exists already")]
    AlreadyExists {
        /// Key of the note that holds the name.
        key: String,
        /// The repeated name.
        name: String,
    },
    /// A name stands more than once in one note.
    #[error("{key} names `{name}`, which stands in this note before")]
    Duplicate {
        /// Key of the note that holds the name.
        key: String,
        /// The repeated name.
        name: String,
    },
    /// A value is out of range.
    #[error("{key} of `{name}` must be {expected}")]
    OutOfRange {
        /// Key of the value.
        key: String,
        /// Entry that holds the value.
        name: String,
        /// What is allowed.
        expected: String,
    },
}

impl RefusalReason {
    /// Returns how the operator mends the note.
    #[must_use]
    pub fn fix(&self) -> String {
        match self {
            Self::Unreadable { .. } => "correct the text; unknown keys are errors".to_owned(),
            Self::TooLarge { .. } => {
                "divide a base note by `part`, or make several notes".to_owned()
            }
            Self::RevisionMismatch { served, .. } => format!("set `revision: {served}`"),
            Self::RevisionGap { in_force, .. } => {
                format!("set `revision: {}` or make it a base note", in_force.next())
            }
            Self::WrongBase { .. } => "list everything of a base note under `added`".to_owned(),
            Self::DanglingReference { name, .. } => {
                format!("add `{name}` in this note or an earlier one, or correct the name")
            }
            Self::StillNeeded { needed_by, .. } => {
                format!("withdraw or change {needed_by} in this note or an earlier one")
            }
            Self::AlreadyExists { .. } => "list it under `changed`".to_owned(),
            Self::Duplicate { .. } => "keep one of the two".to_owned(),
            Self::OutOfRange { key, expected, .. } => format!("set `{key}` to {expected}"),
        }
    }
}
