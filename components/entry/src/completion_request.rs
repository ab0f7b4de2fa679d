//! The body of `/v1/completions`.

use crate::{chat_request, entry_error, generation_query};

/// The body of `/v1/completions`; keys that only engines understand are ignored.
#[derive(Debug, serde::Deserialize)]
pub(crate) struct CompletionRequest {
    model: String,
    #[serde(default)]
    adapter: Option<String>,
    prompt: PromptInput,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    n: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: Option<generation_query::StreamOptions>,
}

#[derive(Debug, serde::Deserialize)]
#[serde(untagged)]
enum PromptInput {
    One(String),
    Many(Vec<String>),
}

impl CompletionRequest {
    /// Checks the request and turns it into a query.
    pub(crate) fn into_query(
        self,
    ) -> Result<generation_query::GenerationQuery, entry_error::EntryError> {
        if self.n.is_some_and(|count| count != 1) {
            return Err(chat_request::out_of_range("n", "1"));
        }
        Ok(generation_query::GenerationQuery {
            prompt: only_prompt(self.prompt)?,
            model: self.model,
            adapter: self.adapter,
            max_tokens: self.max_tokens,
            stream: self.stream,
            include_usage: self.stream_options.unwrap_or_default().include_usage,
            style: generation_query::AnswerStyle::Completion,
        })
    }
}

fn only_prompt(input: PromptInput) -> Result<String, entry_error::EntryError> {
    match input {
        PromptInput::One(prompt) => Ok(prompt),
        PromptInput::Many(mut prompts) if prompts.len() == 1 => Ok(prompts.remove(0)),
        PromptInput::Many(_) => Err(chat_request::out_of_range("prompt", "one text")),
    }
}
