//! A model request, whichever path it came by.

/// What a caller asks of a model, whichever path it came by.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct GenerationQuery {
    pub(crate) model: String,
    pub(crate) adapter: Option<String>,
    pub(crate) prompt: String,
    pub(crate) max_tokens: Option<u32>,
    pub(crate) stream: bool,
    pub(crate) include_usage: bool,
    pub(crate) style: AnswerStyle,
}

/// The shape of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerStyle {
    /// The shape of `/v1/chat/completions`.
    Chat,
    /// The shape of `/v1/completions`.
    Completion,
}

/// Options of a streamed answer.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize)]
pub(crate) struct StreamOptions {
    /// Whether a last event tells the usage.
    #[serde(default)]
    pub(crate) include_usage: bool,
}
