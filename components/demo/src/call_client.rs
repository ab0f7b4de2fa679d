//! Sends planned calls.

use std::{sync, time};

use crate::{balancer, request_result};

/// A call to send.
pub(crate) struct CallClient {
    pub(crate) caller: fakes::SiteCaller,
    pub(crate) balancer: sync::Arc<balancer::Balancer>,
    pub(crate) number: usize,
    /// Whether the call may run more than once.
    pub(crate) idempotent: bool,
    /// Idempotency key that the caller sends.
    pub(crate) key: Option<String>,
}

/// Makes a key of UUID version 7, which tells when it was made.
pub(crate) fn new_key(number: usize) -> String {
    let since_epoch = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    let millis = since_epoch.as_millis() & 0xffff_ffff_ffff;
    let (upper, lower) = (millis >> 16, millis & 0xffff);
    format!("{upper:08x}-{lower:04x}-7000-8000-{number:012x}")
}

/// Wait of a caller with a key when the answer names none.
const KEY_PAUSE_MILLIS: &str = "1000";

/// Path of an order confirmation.
pub(crate) fn confirm_target(number: usize) -> String {
    format!("/orders/confirm/{number}")
}

impl CallClient {
    /// Sends the call, again only where it provably didn't run, may run twice or has a key.
    pub(crate) async fn run(self) -> request_result::RequestResult {
        let mut last = self.result(request_result::ResultKind::NotRun, None);
        for target in self.balancer.tries(self.number) {
            let Some(target) = target else {
                continue;
            };
            let sent = self.caller.send(target.address, self.request(), "").await;
            let mut pause = match &sent {
                Ok(answer) => answer.header("retry-after-ms").to_owned(),
                Err(_) => String::new(),
            };
            last = self.result(kind_of(&sent), Some(target.place));
            last.code = sent.ok().and_then(|answer| fakes::error_code(&answer.body));
            let may_repeat = match last.kind {
                request_result::ResultKind::Answered | request_result::ResultKind::RanBefore => {
                    false
                }
                request_result::ResultKind::NotRun => true,
                _ => self.idempotent || self.key.is_some(),
            };
            if !may_repeat {
                return last;
            }
            if pause.is_empty() && last.kind == request_result::ResultKind::Unknown {
                pause = KEY_PAUSE_MILLIS.to_owned();
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
        match &self.key {
            Some(key) => request.header("idempotency-key", key),
            None => request,
        }
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
            Some(border::Outcome::Ran) if answer.status == http::StatusCode::CONFLICT => {
                request_result::ResultKind::RanBefore
            }
            Some(border::Outcome::NotRun) => request_result::ResultKind::NotRun,
            _ => request_result::ResultKind::Unknown,
        },
    }
}
