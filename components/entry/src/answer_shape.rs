//! The JSON of answers, in the shape that OpenAI clients read.

use crate::{generation_handler, generation_query};

/// Tokens of a prompt and its answer.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub(crate) struct TokenUsage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

impl TokenUsage {
    /// Makes the usage of an answer.
    pub(crate) const fn new(prompt_tokens: u32, completion_tokens: u32) -> Self {
        Self {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens.saturating_add(completion_tokens),
        }
    }
}

/// The fields that all JSON of one answer shares.
#[derive(Clone, Debug)]
pub(crate) struct AnswerShape {
    pub(crate) id: String,
    pub(crate) created: u64,
    pub(crate) model: ids::ModelName,
    pub(crate) style: generation_query::AnswerStyle,
}

#[derive(serde::Serialize)]
struct AnswerBody<'answer> {
    id: &'answer str,
    object: &'static str,
    created: u64,
    model: &'answer str,
    choices: &'answer [AnswerChoice<'answer>],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<TokenUsage>,
}

#[derive(serde::Serialize)]
struct AnswerChoice<'answer> {
    index: u32,
    #[serde(flatten)]
    content: ChoiceContent<'answer>,
    finish_reason: Option<border::FinishReason>,
}

#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
enum ChoiceContent<'answer> {
    Delta(ChatContent<'answer>),
    Message(ChatContent<'answer>),
    Text(&'answer str),
}

#[derive(serde::Serialize)]
struct ChatContent<'answer> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    content: &'answer str,
}

impl AnswerShape {
    /// Makes the shape of an answer.
    pub(crate) fn new(
        answer: &generation_handler::PendingAnswer,
        style: generation_query::AnswerStyle,
    ) -> Self {
        let prefix = match style {
            generation_query::AnswerStyle::Chat => "chatcmpl",
            generation_query::AnswerStyle::Completion => "cmpl",
        };
        Self {
            id: format!("{prefix}-{}", answer.request),
            created: answer.created_seconds,
            model: answer.model.clone(),
            style,
        }
    }

    /// Returns the JSON of one streamed token.
    pub(crate) fn token(&self, piece: &crate::TokenPiece, is_first: bool) -> String {
        let content = match self.style {
            generation_query::AnswerStyle::Chat => ChoiceContent::Delta(ChatContent {
                role: is_first.then_some("assistant"),
                content: &piece.text,
            }),
            generation_query::AnswerStyle::Completion => ChoiceContent::Text(&piece.text),
        };
        self.json(true, Some((content, piece.finish)), None)
    }

    /// Returns the JSON of the usage at the end of a stream.
    pub(crate) fn usage(&self, usage: TokenUsage) -> String {
        self.json(true, None, Some(usage))
    }

    /// Returns the JSON of a whole answer.
    pub(crate) fn whole(
        &self,
        text: &str,
        finish: Option<border::FinishReason>,
        usage: TokenUsage,
    ) -> String {
        let content = match self.style {
            generation_query::AnswerStyle::Chat => ChoiceContent::Message(ChatContent {
                role: Some("assistant"),
                content: text,
            }),
            generation_query::AnswerStyle::Completion => ChoiceContent::Text(text),
        };
        self.json(false, Some((content, finish)), Some(usage))
    }

    fn json(
        &self,
        is_streamed: bool,
        choice: Option<(ChoiceContent<'_>, Option<border::FinishReason>)>,
        usage: Option<TokenUsage>,
    ) -> String {
        let choices: Vec<_> = choice
            .into_iter()
            .map(|(content, finish_reason)| AnswerChoice {
                index: 0,
                content,
                finish_reason,
            })
            .collect();
        let body = AnswerBody {
            id: &self.id,
            object: self.object(is_streamed),
            created: self.created,
            model: self.model.as_str(),
            choices: &choices,
            usage,
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    const fn object(&self, is_streamed: bool) -> &'static str {
        match (self.style, is_streamed) {
            (generation_query::AnswerStyle::Chat, true) => "chat.completion.chunk",
            (generation_query::AnswerStyle::Chat, false) => "chat.completion",
            (generation_query::AnswerStyle::Completion, _) => "text_completion",
        }
    }
}
