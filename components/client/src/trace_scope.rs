//! Carries the trace of a request to the calls made on its behalf.

use std::future;

tokio::task_local! {
    static TRACE: border::TraceParent;
}

/// Runs `work` as part of `trace`; calls made within it carry a `traceparent` header.
pub async fn in_trace<Work: future::Future>(
    trace: border::TraceParent,
    work: Work,
) -> Work::Output {
    TRACE.scope(trace, work).await
}

/// Returns the trace that the current task works for.
#[must_use]
pub fn current_trace() -> Option<border::TraceParent> {
    TRACE.try_with(|trace| *trace).ok()
}
