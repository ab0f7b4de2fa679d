//! Streamed answers, as server-sent events.

use axum::response::IntoResponse as _;
use futures_util::stream;

use crate::{answer_shape, error_answer, generation_handler, generation_query, outcome_answer};

/// Event that ends a whole stream.
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// A stream of events under way.
struct EventStream {
    answer: generation_handler::PendingAnswer,
    shape: answer_shape::AnswerShape,
    include_usage: bool,
    tokens: u32,
    finished: bool,
    /// A token that arrived before the head of the answer was sent.
    first: Option<crate::TokenPiece>,
}

/// Sends the answer as it arrives; the status is known with the first token.
pub(crate) async fn respond(
    mut answer: generation_handler::PendingAnswer,
    query: &generation_query::GenerationQuery,
) -> axum::response::Response {
    let first = match answer.next().await {
        Ok(piece) => piece,
        Err(error) => {
            return error
                .unwrap_or_else(outcome_answer::lost_error)
                .into_answer();
        }
    };
    let request = answer.request;
    let events = EventStream {
        shape: answer_shape::AnswerShape::new(&answer, query.style),
        answer,
        include_usage: query.include_usage,
        tokens: 0,
        finished: false,
        first: Some(first),
    };
    let body = axum::body::Body::from_stream(stream::unfold(Some(events), next_event));
    let headers = [
        (http::header::CONTENT_TYPE.as_str(), "text/event-stream"),
        (http::header::CACHE_CONTROL.as_str(), "no-cache"),
        (crate::OUTCOME_HEADER, border::Outcome::Ran.into()),
    ];
    let number = [(crate::REQUEST_HEADER, request.to_string())];
    (headers, number, body).into_response()
}

type EventResult = Result<bytes::Bytes, std::convert::Infallible>;

async fn next_event(events: Option<EventStream>) -> Option<(EventResult, Option<EventStream>)> {
    let mut events = events?;
    let next = match events.first.take() {
        Some(piece) => Ok(piece),
        None => events.answer.next().await,
    };
    match next {
        Ok(piece) => {
            let event = events.token_event(&piece);
            Some((Ok(event), Some(events)))
        }
        Err(error) => Some((Ok(events.last_event(error)), None)),
    }
}

impl EventStream {
    fn token_event(&mut self, piece: &crate::TokenPiece) -> bytes::Bytes {
        let json = self.shape.token(piece, self.tokens == 0);
        self.tokens += 1;
        self.finished = piece.finish.is_some();
        ["data: ", &json, "\n\n"].concat().into()
    }

    fn last_event(&self, error: Option<error_answer::ErrorAnswer>) -> bytes::Bytes {
        let error = match error {
            None if !self.finished => Some(outcome_answer::lost_error()),
            error => error,
        };
        if let Some(error) = error {
            return ["event: error\ndata: ", &error.json(), "\n\n"]
                .concat()
                .into();
        }
        if !self.include_usage {
            return bytes::Bytes::from_static(DONE_EVENT.as_bytes());
        }
        let usage = answer_shape::TokenUsage::new(self.answer.prompt_tokens, self.tokens);
        let json = self.shape.usage(usage);
        ["data: ", &json, "\n\n", DONE_EVENT].concat().into()
    }
}
