//! What fails in a case.

/// What fails in a case.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    PartialEq,
    serde::Serialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StudyFault {
    /// Nothing.
    None,
    /// A decode engine dies.
    DecodeEngineDies,
    /// An instance that owns no cell dies.
    EntryDies,
    /// The instance that owns the cell dies.
    OwnerDies,
    /// Load reports are two seconds late.
    LateReports,
    /// One caller in ten closes its connection within two seconds.
    CallersCancel,
}
