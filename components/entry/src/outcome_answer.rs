//! Turns the outcomes of the control core into errors for callers.

use crate::error_answer;

/// Returns the error of a model request, or `None` when it was answered.
pub(crate) fn flow_error(outcome: &flow::FlowOutcome) -> Option<error_answer::ErrorAnswer> {
    match outcome {
        flow::FlowOutcome::Answered(_) => None,
        flow::FlowOutcome::Refused {
            reason,
            retry_after,
        } => {
            let status = refusal_status(*reason);
            let can_retry = status != http::StatusCode::BAD_REQUEST;
            Some(
                error_answer::ErrorAnswer::builder()
                    .status(status)
                    .code((*reason).into())
                    .message(format!("the request was refused: {reason}"))
                    .outcome(border::Outcome::NotRun)
                    .maybe_retry_after(can_retry.then_some(*retry_after))
                    .build(),
            )
        }
        flow::FlowOutcome::Broken { outcome, delivered } => Some(
            error_answer::ErrorAnswer::builder()
                .status(http::StatusCode::BAD_GATEWAY)
                .code("answer_broken")
                .message(format!("the answer broke off after {delivered} tokens"))
                .outcome(*outcome)
                .build(),
        ),
    }
}

/// Returns the error of an answer whose end was never told.
pub(crate) fn lost_error() -> error_answer::ErrorAnswer {
    error_answer::ErrorAnswer::builder()
        .status(http::StatusCode::BAD_GATEWAY)
        .code("answer_broken")
        .message("the instance ended before the answer")
        .outcome(border::Outcome::Unknown)
        .build()
}

/// Returns the error of a failed call.
pub(crate) fn call_error(
    outcome: border::Outcome,
    failure: call::CallFailure,
    retry_after: Option<std::time::Duration>,
) -> error_answer::ErrorAnswer {
    error_answer::ErrorAnswer::builder()
        .status(failure_status(failure))
        .code(failure.into())
        .message(format!("the call has no answer: {failure}"))
        .outcome(outcome)
        .maybe_retry_after(retry_after)
        .build()
}

const fn refusal_status(reason: place::RefusalReason) -> http::StatusCode {
    match reason {
        place::RefusalReason::TooLarge => http::StatusCode::BAD_REQUEST,
        place::RefusalReason::QueueFull | place::RefusalReason::RetryBudget => {
            http::StatusCode::TOO_MANY_REQUESTS
        }
        _ => http::StatusCode::SERVICE_UNAVAILABLE,
    }
}

const fn failure_status(failure: call::CallFailure) -> http::StatusCode {
    match failure {
        call::CallFailure::QueueFull => http::StatusCode::TOO_MANY_REQUESTS,
        call::CallFailure::DeadlinePassed => http::StatusCode::GATEWAY_TIMEOUT,
        call::CallFailure::ServerLost => http::StatusCode::BAD_GATEWAY,
        call::CallFailure::KeyInUse | call::CallFailure::KeyUsed => http::StatusCode::CONFLICT,
        call::CallFailure::KeyMismatch => http::StatusCode::UNPROCESSABLE_ENTITY,
        _ => http::StatusCode::SERVICE_UNAVAILABLE,
    }
}
