//! Moves the tokens of an answer from its engine to its caller.

use std::{net, sync, time};

use futures_util::StreamExt as _;

use crate::core_port;

/// Time between two reports of progress to the core.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Moves the tokens of one attempt from its engine to its caller.
pub(crate) struct TokenPump {
    pub(crate) session: sync::Arc<entry::AnswerSession>,
    pub(crate) engines: sync::Arc<dyn border::EngineClient>,
    pub(crate) book: sync::Arc<entry::SessionBook>,
    pub(crate) port: core_port::CorePort,
    pub(crate) engine: net::SocketAddr,
    pub(crate) job: border::DecodeJob,
    /// Time a caller may leave a full window of tokens unread.
    pub(crate) caller_patience: time::Duration,
}

/// Why a pump stopped.
enum PumpEnd {
    /// The engine's stream ended.
    Stream(Result<border::FinishReason, border::BorderError>),
    /// The caller doesn't read any more.
    Caller,
}

impl TokenPump {
    /// Moves tokens until the stream or the caller ends, and tells the core.
    pub(crate) async fn run(self) {
        let request = self.job.request;
        let attempt = self.job.attempt;
        self.session.progress().follow(attempt);
        let end = self.move_all().await;
        let offset = self.session.progress().offset();
        match end {
            PumpEnd::Stream(result) => {
                let event = control::Event::DecodeEnded(request, attempt, offset, result);
                self.port.tell(event);
            }
            PumpEnd::Caller => self.give_up(offset),
        }
    }

    async fn move_all(&self) -> PumpEnd {
        let opened = self.engines.decode(self.engine, self.job.clone()).await;
        let mut tokens = match opened {
            Ok(tokens) => tokens,
            Err(error) => return PumpEnd::Stream(Err(error)),
        };
        let mut reported = time::Instant::now();
        while let Some(token) = tokens.next().await {
            let token = match token {
                Ok(token) => token,
                Err(error) => return PumpEnd::Stream(Err(error)),
            };
            let finish = token.finish;
            let reserving = self.session.tokens().reserve();
            let reserved = tokio::time::timeout(self.caller_patience, reserving).await;
            let Ok(Ok(permit)) = reserved else {
                return PumpEnd::Caller;
            };
            // The cursor advances only with the token in the caller's channel, so that a pump
            // that is ended while it waits loses nothing.
            let verdict = self
                .session
                .progress()
                .take(token, |piece| permit.send(piece));
            match verdict {
                entry::TokenVerdict::Gap => return PumpEnd::Stream(Err(gap())),
                entry::TokenVerdict::Dropped => continue,
                entry::TokenVerdict::First => self.report(&mut reported),
                entry::TokenVerdict::Delivered if reported.elapsed() >= REPORT_INTERVAL => {
                    self.report(&mut reported);
                }
                entry::TokenVerdict::Delivered => {}
            }
            if let Some(finish) = finish {
                return PumpEnd::Stream(Ok(finish));
            }
        }
        PumpEnd::Stream(Err(gap()))
    }

    fn report(&self, reported: &mut time::Instant) {
        let offset = self.session.progress().offset();
        *reported = time::Instant::now();
        self.port.tell(control::Event::Delivered(
            self.job.request,
            self.job.attempt,
            offset,
        ));
    }

    /// Ends the request of a caller that doesn't read.
    fn give_up(&self, delivered: u32) {
        self.book.remove_answer(self.job.request);
        self.session.finish(flow::FlowOutcome::Broken {
            outcome: border::Outcome::Ran,
            delivered,
        });
        self.port.tell(control::Event::CallerGone(self.job.request));
    }
}

fn gap() -> border::BorderError {
    border::BorderError::Lost {
        detail: "a token of the stream is missing".to_owned(),
    }
}
