//! Errors in the shape that OpenAI clients read.

use std::time;

use axum::response::IntoResponse as _;

use crate::entry_error;

/// Time after which a refused caller may ask again, where nothing better is known.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// Header field with the retry time in milliseconds, beside the standard one in seconds.
const RETRY_MILLIS_HEADER: &str = "retry-after-ms";

/// An error on its way to a caller.
#[derive(Clone, Debug, bon::Builder)]
#[builder(on(String, into))]
pub(crate) struct ErrorAnswer {
    pub(crate) status: http::StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) outcome: border::Outcome,
    pub(crate) retry_after: Option<time::Duration>,
}

#[derive(serde::Serialize)]
struct ErrorBody<'answer> {
    error: ErrorDetail<'answer>,
}

#[derive(serde::Serialize)]
struct ErrorDetail<'answer> {
    message: &'answer str,
    r#type: &'static str,
    param: Option<&'static str>,
    code: &'static str,
    outcome: border::Outcome,
}

impl ErrorAnswer {
    /// Returns the body, in JSON.
    pub(crate) fn json(&self) -> String {
        let body = ErrorBody {
            error: ErrorDetail {
                message: &self.message,
                r#type: self.kind(),
                param: None,
                code: self.code,
                outcome: self.outcome,
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Returns the HTTP answer.
    pub(crate) fn into_answer(self) -> axum::response::Response {
        let mut answer = (self.status, self.json()).into_response();
        let headers = answer.headers_mut();
        headers.insert(
            http::header::CONTENT_TYPE,
            http::HeaderValue::from_static("application/json"),
        );
        headers.insert(
            crate::OUTCOME_HEADER,
            http::HeaderValue::from_static(self.outcome.into()),
        );
        if let Some(retry_after) = self.retry_after {
            let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
            set_number(headers, http::header::RETRY_AFTER, seconds);
            let millis = http::HeaderName::from_static(RETRY_MILLIS_HEADER);
            set_number(headers, millis, retry_after.as_millis());
        }
        answer
    }

    fn kind(&self) -> &'static str {
        match self.status {
            http::StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            http::StatusCode::FORBIDDEN => "permission_error",
            status if status.is_client_error() => "invalid_request_error",
            _ => "server_error",
        }
    }
}

impl From<entry_error::EntryError> for ErrorAnswer {
    fn from(error: entry_error::EntryError) -> Self {
        let status = error.status();
        let can_retry = matches!(
            status,
            http::StatusCode::TOO_MANY_REQUESTS | http::StatusCode::SERVICE_UNAVAILABLE
        );
        Self::builder()
            .status(status)
            .message(error.to_string())
            .code(error.into())
            .outcome(border::Outcome::NotRun)
            .maybe_retry_after(can_retry.then_some(RETRY_AFTER))
            .build()
    }
}

impl axum::response::IntoResponse for ErrorAnswer {
    fn into_response(self) -> axum::response::Response {
        self.into_answer()
    }
}

fn set_number(headers: &mut http::HeaderMap, name: http::HeaderName, value: u128) {
    if let Ok(value) = http::HeaderValue::from_str(&value.to_string()) {
        headers.insert(name, value);
    }
}
