//! Sends planned model requests.

use std::{sync, time};

use crate::{balancer, request_result};

/// A model request to send.
pub(crate) struct GenerationClient {
    pub(crate) caller: fakes::SiteCaller,
    pub(crate) balancer: sync::Arc<balancer::Balancer>,
    pub(crate) number: usize,
    pub(crate) class: &'static str,
    pub(crate) prompt: String,
    pub(crate) output_tokens: u32,
    pub(crate) cancel_after: Option<usize>,
}

impl GenerationClient {
    /// Sends the request, again only where it provably didn't run.
    pub(crate) async fn run(self) -> request_result::RequestResult {
        let arrived = time::Instant::now();
        let mut last =
            request_result::RequestResult::new(self.number, request_result::ResultKind::NotRun);
        for target in self.balancer.tries(self.number) {
            let Some(target) = target else {
                continue;
            };
            let (result, retry_after) = self.attempt(target, arrived).await;
            last = result;
            last.instance = Some(target.place);
            if last.kind != request_result::ResultKind::NotRun {
                return last;
            }
            balancer::pause(&retry_after).await;
        }
        last
    }

    async fn attempt(
        &self,
        target: balancer::Target,
        arrived: time::Instant,
    ) -> (request_result::RequestResult, String) {
        let opened = self
            .caller
            .chat_stream(target.address, self.class, &self.prompt)
            .await;
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(error) if error.proves_not_run() => {
                return (
                    self.result(request_result::ResultKind::NotRun),
                    String::new(),
                );
            }
            Err(_) => {
                let lost = request_result::ResultKind::ConnectionLost;
                return (self.result(lost), String::new());
            }
        };
        let retry_after = stream.header("retry-after-ms").to_owned();
        let is_refused = stream.header("plantainreach-outcome") == "not_run";
        let read = self.read(&mut stream).await;
        let mut result = if is_refused {
            self.result(request_result::ResultKind::NotRun)
        } else {
            self.result(self.kind_of(&stream, read))
        };
        result.code = fakes::error_code(&stream.text);
        result.request = u128::from_str_radix(stream.header("plantainreach-request"), 16)
            .ok()
            .map(ids::RequestId);
        set_times(&mut result, &stream, arrived);
        (result, retry_after)
    }

    /// Reads until the end or until the caller gives up; returns whether it gave up.
    async fn read(&self, stream: &mut fakes::StreamAnswer) -> Result<bool, border::BorderError> {
        loop {
            let gives_up = self
                .cancel_after
                .is_some_and(|events| stream.times.len() >= events);
            if gives_up {
                return Ok(true);
            }
            if !stream.read_more().await? {
                return Ok(false);
            }
        }
    }

    fn kind_of(
        &self,
        stream: &fakes::StreamAnswer,
        read: Result<bool, border::BorderError>,
    ) -> request_result::ResultKind {
        let whole = fakes::AnswerPlan::of_prompt(&self.prompt).text(self.output_tokens);
        let text = stream.chat_text();
        match read {
            _ if !whole.starts_with(&text) => request_result::ResultKind::Wrong,
            Err(_) => request_result::ResultKind::ConnectionLost,
            Ok(true) => request_result::ResultKind::Cancelled,
            Ok(false) if !stream.status().is_success() => request_result::ResultKind::Unknown,
            Ok(false) if stream.is_whole() && text == whole => request_result::ResultKind::Answered,
            Ok(false) if stream.text.contains("event: error") => {
                request_result::ResultKind::Unknown
            }
            Ok(false) => request_result::ResultKind::Wrong,
        }
    }

    const fn result(&self, kind: request_result::ResultKind) -> request_result::RequestResult {
        request_result::RequestResult::new(self.number, kind)
    }
}

fn set_times(
    result: &mut request_result::RequestResult,
    stream: &fakes::StreamAnswer,
    arrived: time::Instant,
) {
    let (Some(first), Some(last)) = (stream.times.first(), stream.times.last()) else {
        return;
    };
    result.first_token = Some(first.duration_since(arrived));
    let gaps = u32::try_from(stream.times.len() - 1).unwrap_or(u32::MAX);
    result.token_pace = last.duration_since(*first).checked_div(gaps);
}
