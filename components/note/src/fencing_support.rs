//! Whether an engine checks the fencing number of an order.

/// Whether an engine checks the fencing number of an order.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
    schemars::JsonSchema,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum FencingSupport {
    /// The engine refuses an order with an outdated fencing number.
    Enforced,
    /// The engine executes every order, whatever its fencing number.
    #[default]
    Ignored,
}
