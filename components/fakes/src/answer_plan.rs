//! What a stand-in engine answers to a prompt.

/// Length of an answer to a prompt that doesn't ask for one, in tokens.
const DEFAULT_OUTPUT_TOKENS: u32 = 40;

/// What a stand-in engine answers to a prompt; equal on every engine.
///
/// A prompt that contains `#tag` has the tag in every token of its answer, and `out=N` makes the
/// answer N tokens long, so that a caller can check that the whole answer is its own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerPlan {
    /// Tag of the prompt.
    pub tag: String,
    /// Length of the answer, in tokens.
    pub output_tokens: u32,
}

impl AnswerPlan {
    /// Reads the plan from a prompt.
    #[must_use]
    pub fn of_prompt(prompt: &str) -> Self {
        let words = || prompt.split_whitespace();
        let tag = words().find_map(|word| word.strip_prefix('#'));
        let output_tokens = words()
            .find_map(|word| word.strip_prefix("out="))
            .and_then(|count| count.parse().ok());
        Self {
            tag: tag.unwrap_or("untagged").to_owned(),
            output_tokens: output_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
        }
    }

    /// Returns the text of a token.
    #[must_use]
    pub fn token(&self, offset: u32) -> String {
        format!("{}.{offset} ", self.tag)
    }

    /// Returns the text of the first `count` tokens.
    #[must_use]
    pub fn text(&self, count: u32) -> String {
        (0..count).map(|offset| self.token(offset)).collect()
    }
}
