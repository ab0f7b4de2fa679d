//! A request class.

use crate::class_target;

/// How requests of one kind are treated.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Name of the class.
    pub name: ids::ClassName,
    /// What the class reaches, with the settings that belong to it.
    pub target: class_target::ClassTarget,
}
