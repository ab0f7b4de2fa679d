//! Sends planned calls.

use std::sync;

use crate::{balancer, request_result};

/// A call to send.
pub(crate) struct CallClient {
    pub(crate) caller: fakes::SiteCaller,
    pub(crate) balancer: sync::Arc<balancer::Balancer>,
    pub(crate) number: usize,
    /// Whether the call may run more than once.
    pub(crate) idempotent: bool,
    /// Whether the caller sends an idempotency key.
    pub(crate) keyed: bool,
}

/// Path of an order confirmation.
pub(crate) fn confirm_target(number: usize) -> String {
    format!("/orders/confirm/{number}")
}

impl CallClient {
    /// Sends the call, again only where it provably didn't run or may run twice.
    pub(crate) async fn run(self) -> request_result::RequestResult {
        let mut last = self.result(request_result::ResultKind::NotRun, None);
        for target in self.balancer.tries(self.number) {
            let Some(target) = target else {
                continue;
            };
            let sent = self.caller.send(target.address, self.request(), "").await;
            let pause = match &sent {
                Ok(answer) => answer.header("retry-after-ms").to_owned(),
                Err(_) => String::new(),
            };
            last = self.result(kind_of(&sent), Some(target.place));
            last.code = sent.ok().and_then(|answer| fakes::error_code(&answer.body));
            let may_repeat = self.idempotent || last.kind == request_result::ResultKind::NotRun;
            if last.kind == request_result::ResultKind::Answered || !may_repeat {
                return last;
            }
            balancer::pause(&pause).await;
        }
        last
    }

    fn request(&self) -> http::request::Builder {
        if self.idempotent {
            return http::Request::get(format!("/orders/item/{}", self.number));
        }
        let request = http::Request::post(confirm_target(self.number));
        if self.keyed {
            return request.header("idempotency-key", format!("order-{}", self.number));
        }
        request
    }

    const fn result(
        &self,
        kind: request_result::ResultKind,
        instance: Option<usize>,
    ) -> request_result::RequestResult {
        let mut result = request_result::RequestResult::new(self.number, kind);
        result.instance = instance;
        result
    }
}

fn kind_of(sent: &Result<fakes::CallerAnswer, border::BorderError>) -> request_result::ResultKind {
    match sent {
        Err(error) if error.proves_not_run() => request_result::ResultKind::NotRun,
        Err(_) => request_result::ResultKind::ConnectionLost,
        Ok(answer) => match answer.outcome() {
            Some(border::Outcome::Ran) if answer.status.is_success() => {
                request_result::ResultKind::Answered
            }
            Some(border::Outcome::NotRun) => request_result::ResultKind::NotRun,
            _ => request_result::ResultKind::Unknown,
        },
    }
}
