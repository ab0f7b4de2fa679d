//! Limit on what a workspace may ask for.

/// Largest number of units of one request. No engine takes more tokens.
const MAX_UNITS: u32 = 1 << 20;

/// What a limit counts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum LimitUnit {
    /// Each request counts as one.
    #[default]
    Requests,
    /// A request counts as the sum of its prompt tokens and its output limit.
    Tokens,
}

/// Limit on what a workspace may ask for, over all instances together.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct TokenLimit {
    /// What is counted.
    pub unit: LimitUnit,
    /// Units per second.
    pub rate: f64,
    /// Units that an unused limit collects.
    pub burst: f64,
    /// Units of a request without token counts, where tokens are counted.
    pub plain_tokens: u32,
}

impl TokenLimit {
    /// Returns the units of a request with `tokens` tokens, at most 2^20; `None` for one without token
    /// counts.
    #[must_use]
    pub const fn cost(&self, tokens: Option<u32>) -> u32 {
        match (self.unit, tokens) {
            (LimitUnit::Requests, _) => 1,
            (LimitUnit::Tokens, Some(tokens)) if tokens > MAX_UNITS => MAX_UNITS,
            (LimitUnit::Tokens, Some(tokens)) => tokens,
            (LimitUnit::Tokens, None) => self.plain_tokens,
        }
    }
}
