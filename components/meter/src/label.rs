//! Label sets.

use prometheus_client::encoding;

/// Why something happened.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub(crate) struct ReasonLabel {
    pub(crate) reason: &'static str,
}

/// What is known of a request or a call.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub(crate) struct OutcomeLabel {
    pub(crate) outcome: &'static str,
}

/// The state that is counted.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub(crate) struct StateLabel {
    pub(crate) state: &'static str,
}

/// A request class.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub(crate) struct ClassLabel {
    pub(crate) class: String,
}

/// A request class and whether its targets were met.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub(crate) struct TimingLabel {
    pub(crate) class: String,
    pub(crate) timing: &'static str,
}

/// Whether calls may run more than once, and what is known of them.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub(crate) struct CallLabel {
    pub(crate) kind: &'static str,
    pub(crate) outcome: &'static str,
}

/// What an engine was ordered to do.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub(crate) struct ActionLabel {
    pub(crate) action: &'static str,
}

/// What an engine answered.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub(crate) struct AnswerLabel {
    pub(crate) answer: &'static str,
}

/// The version of the program.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub(crate) struct VersionLabel {
    pub(crate) version: String,
}
