//! Answers that are sent when they are whole.

use axum::response::IntoResponse as _;

use crate::{answer_shape, generation_handler, generation_query, outcome_answer};

/// Collects the answer and sends it whole, or an error.
pub(crate) async fn respond(
    mut answer: generation_handler::PendingAnswer,
    query: &generation_query::GenerationQuery,
) -> axum::response::Response {
    let shape = answer_shape::AnswerShape::new(&answer, query.style);
    let mut text = String::new();
    let mut tokens = 0;
    let mut finish = None;
    let error = loop {
        match answer.next().await {
            Ok(piece) => {
                text.push_str(&piece.text);
                tokens += 1;
                finish = piece.finish;
            }
            Err(error) => break error,
        }
    };
    match error {
        Some(error) => error.into_answer(),
        None if finish.is_none() => outcome_answer::lost_error().into_answer(),
        None => {
            let usage = answer_shape::TokenUsage::new(answer.prompt_tokens, tokens);
            let headers = [
                (http::header::CONTENT_TYPE.as_str(), "application/json"),
                (crate::OUTCOME_HEADER, border::Outcome::Ran.into()),
            ];
            let number = [(crate::REQUEST_HEADER, answer.request.to_string())];
            (headers, number, shape.whole(&text, finish, usage)).into_response()
        }
    }
}
