//! A request class.

use crate::class_target;

/// A request class: requests of one kind with the settings that apply to them.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Name of the class.
    pub name: ids::ClassName,
    /// Target of the requests, with its settings.
    pub target: class_target::ClassTarget,
}
