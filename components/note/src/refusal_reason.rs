//! Why a release note is refused.

/// Why a release note is refused; the same on every instance.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// An incremental note doesn't follow the revision in force.
    #[error("revision {found} doesn't follow revision {in_force}, which is in force")]
    RevisionGap {
        /// Revision of the note.
        found: ids::Revision,
        /// Revision in force.
        in_force: ids::Revision,
    },
    /// A note names something that doesn't exist.
    #[error("{key} names `{name}`, which doesn't exist")]
    DanglingReference {
        /// Key of the note that holds the name.
        key: String,
        /// The missing name.
        name: String,
    },
    /// An added entry exists already.
    #[error("{key} adds `{name}`, which exists already; list it under `changed`")]
    AlreadyExists {
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
