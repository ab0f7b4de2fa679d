//! An engine's answer to an order.

/// An engine's answer to an order.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum OrderAnswer {
    /// The order was carried out, or had been before.
    Done,
    /// The order is under way; the status tells when it is done.
    Accepted,
    /// The fencing number was lower than one seen before.
    Fenced,
    /// The engine can't carry the order out.
    Refused,
}
