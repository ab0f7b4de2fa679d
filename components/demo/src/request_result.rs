//! What became of a planned request, as its caller saw it.

use std::time;

/// How a request ended for its caller.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum ResultKind {
    /// The whole answer arrived.
    Answered,
    /// The caller gave up, as planned.
    Cancelled,
    /// The router said that the request wasn't run.
    NotRun,
    /// The router said that an earlier try under the same key ran.
    RanBefore,
    /// The router said that the outcome is unknown, or that the answer broke off.
    Unknown,
    /// The connection broke without a word.
    ConnectionLost,
    /// The answer ended as whole but isn't the whole answer to this request.
    Wrong,
}

/// What became of a planned request, as its caller saw it.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// Number in the plan.
    pub number: usize,
    /// How the request ended.
    pub kind: ResultKind,
    /// Code of the error that the router gave last.
    pub code: Option<String>,
    /// Number that the router gave the request.
    pub request: Option<ids::RequestId>,
    /// Instance that answered last, by its place in the demo.
    pub instance: Option<usize>,
    /// Time from the arrival to the first token.
    pub first_token: Option<time::Duration>,
    /// Mean time between two tokens.
    pub token_pace: Option<time::Duration>,
    /// Time since the start at which the request ended.
    pub ended: time::Duration,
}

impl RequestResult {
    /// Makes a result without figures.
    #[must_use]
    pub const fn new(number: usize, kind: ResultKind) -> Self {
        Self {
            number,
            kind,
            code: None,
            request: None,
            instance: None,
            first_token: None,
            token_pace: None,
            ended: time::Duration::ZERO,
        }
    }
}
