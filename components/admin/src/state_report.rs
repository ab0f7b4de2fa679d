//! What is in force and what an instance does.

use crate::{cell_report, instance_report, member_report, note_report, order_report};

/// What is in force and what an instance does, as `GET /state` tells it.
#[derive(
    Clone, Debug, Default, Eq, PartialEq, bon::Builder, serde::Deserialize, serde::Serialize,
)]
pub struct StateReport {
    /// The instance that answers.
    pub instance: instance_report::InstanceReport,
    /// Release notes in force and refused.
    pub release_notes: note_report::NoteReport,
    /// Other instances as this one sees them.
    pub membership: member_report::MembershipReport,
    /// Cells that this instance owns.
    pub cells: Vec<cell_report::CellReport>,
    /// Orders that this instance gave and that aren't settled.
    pub orders: Vec<order_report::OrderReport>,
}
