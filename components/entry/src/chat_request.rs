//! The body of `/v1/chat/completions`.

use crate::{entry_error, generation_query};

/// The body of `/v1/chat/completions`; keys that only engines understand are ignored.
#[derive(Debug, serde::Deserialize)]
pub(crate) struct ChatRequest {
    model: String,
    #[serde(default)]
    adapter: Option<String>,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    n: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: Option<generation_query::StreamOptions>,
}

#[derive(Debug, serde::Deserialize)]
struct ChatMessage {
    role: String,
    #[serde(default)]
    content: Option<MessageContent>,
}

#[derive(Debug, serde::Deserialize)]
#[serde(untagged)]
enum MessageContent {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Debug, serde::Deserialize)]
struct ContentPart {
    #[serde(default)]
    text: Option<String>,
}

impl ChatRequest {
    /// Checks the request and turns it into a query.
    pub(crate) fn into_query(
        self,
    ) -> Result<generation_query::GenerationQuery, entry_error::EntryError> {
        if self.messages.is_empty() {
            return Err(out_of_range("messages", "at least one message"));
        }
        if self.n.is_some_and(|count| count != 1) {
            return Err(out_of_range("n", "1"));
        }
        Ok(generation_query::GenerationQuery {
            prompt: self.messages.iter().map(message_text).collect(),
            model: self.model,
            adapter: self.adapter,
            max_tokens: self.max_completion_tokens.or(self.max_tokens),
            stream: self.stream,
            include_usage: self.stream_options.unwrap_or_default().include_usage,
            style: generation_query::AnswerStyle::Chat,
        })
    }
}

fn message_text(message: &ChatMessage) -> String {
    let content = match &message.content {
        None => String::new(),
        Some(MessageContent::Text(text)) => text.clone(),
        Some(MessageContent::Parts(parts)) => parts
            .iter()
            .filter_map(|part| part.text.as_deref())
            .collect(),
    };
    format!("{}: {content}\n", message.role)
}

/// Makes the error of a value that is out of range.
pub(crate) fn out_of_range(
    key: &'static str,
    expected: impl Into<String>,
) -> entry_error::EntryError {
    entry_error::EntryError::OutOfRange {
        key,
        expected: expected.into(),
    }
}
