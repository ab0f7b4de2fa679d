//! Reasons for which a release note is refused.

/// Reason for which a release note is refused; all instances report the same reason for a note.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, thiserror::Error, strum::IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The text isn't a release note.
    #[error("the text isn't a release note: {detail}")]
    Unreadable {
        /// Error of the parser, with line and column.
        detail: String,
    },
    /// The text exceeds the size limit of a value of the configuration service.
    #[error(
        "the note has {bytes} bytes; at most {} are allowed",
        crate::NOTE_LIMIT_BYTES
    )]
    TooLarge {
        /// Size of the text, in bytes.
        bytes: usize,
    },
    /// The note contains a revision other than the one under which it is served.
    #[error("the note contains revision {found} but is served as revision {served}")]
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
    /// The revision, the sections or the part number of a note are invalid.
    #[error("{detail}")]
    #[serde(rename = "wrong_base")]
    #[strum(serialize = "wrong_base")]
    InvalidHeader {
        /// Description of the fault.
        detail: String,
    },
    /// A note refers to an entry that doesn't exist.
    #[error("{key} names `{name}`, which doesn't exist")]
    DanglingReference {
        /// Key path of the name.
        key: String,
        /// The missing name.
        name: String,
    },
    /// A note withdraws an entry that is still referenced.
    #[error("{key} withdraws `{name}`, which is still used by {needed_by}")]
    StillNeeded {
        /// Key path of the name.
        key: String,
        /// The withdrawn name.
        name: String,
        /// Kind and name of an entry that references it.
        needed_by: String,
    },
    /// A note adds an entry that already exists.
    #[error("{key} adds `{name}`, which already exists")]
    AlreadyExists {
        /// Key path of the name.
        key: String,
        /// The duplicate name.
        name: String,
    },
    /// A note lists a name more than once.
    #[error("{key} repeats `{name}`, which appears earlier in this note")]
    Duplicate {
        /// Key path of the name.
        key: String,
        /// The duplicate name.
        name: String,
    },
    /// A value is out of range.
    #[error("{key} of `{name}` must be {expected}")]
    OutOfRange {
        /// Key of the value.
        key: String,
        /// Name of the entry with the value.
        name: String,
        /// Description of the valid values.
        expected: String,
    },
}

impl RefusalReason {
    /// Returns how an operator can correct the note.
    #[must_use]
    pub fn fix(&self) -> String {
        match self {
            Self::Unreadable { .. } => "correct the text; unknown keys are errors".to_owned(),
            Self::TooLarge { .. } => {
                "split a base note with `part`, or publish several notes".to_owned()
            }
            Self::RevisionMismatch { served, .. } => format!("set `revision: {served}`"),
            Self::RevisionGap { in_force, .. } => {
                format!("set `revision: {}` or make it a base note", in_force.next())
            }
            Self::InvalidHeader { .. } => {
                "list all entries of a base note under `added`".to_owned()
            }
            Self::DanglingReference { name, .. } => {
                format!("add `{name}` in this note or an earlier one, or correct the name")
            }
            Self::StillNeeded { needed_by, .. } => {
                format!("withdraw or change {needed_by} in this note or an earlier one")
            }
            Self::AlreadyExists { .. } => "list it under `changed`".to_owned(),
            Self::Duplicate { .. } => "remove one of the two".to_owned(),
            Self::OutOfRange { key, expected, .. } => format!("set `{key}` to {expected}"),
        }
    }
}
