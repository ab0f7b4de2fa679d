//! Whether an answer met the latency targets of its class.

/// Whether a whole answer met the latency targets of its class.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum AnswerTiming {
    /// The first token and the pace were in time.
    InTime,
    /// The first token was late.
    FirstTokenLate,
    /// The first token was in time and the later ones came too slowly.
    TooSlow,
}
