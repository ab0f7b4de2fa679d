//! Carries out what the control core decides.

use std::{future, net, sync, time};

use crate::{
    address_book, border_set, core_port, hop_span, outage_log, peer_port, placement_spans,
    token_pump,
};

/// Times that a cancellation is sent when it isn't acknowledged.
const CANCEL_TRIES: u32 = 3;

/// Wait before a cancellation is repeated.
const CANCEL_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Carries out what the control core decides, on the traffic runtime.
pub(crate) struct ActionRunner {
    pub(crate) own: ids::InstanceId,
    pub(crate) traffic: tokio::runtime::Handle,
    pub(crate) borders: border_set::BorderSet,
    pub(crate) book: sync::Arc<entry::SessionBook>,
    pub(crate) port: core_port::CorePort,
    pub(crate) peers: Box<dyn peer_port::PeerPort>,
    pub(crate) addresses: address_book::AddressBook,
    /// Time a caller may leave a full window of tokens unread.
    pub(crate) caller_patience: time::Duration,
    pub(crate) placements: placement_spans::PlacementSpans,
    pub(crate) list_outages: outage_log::OutageLog,
    pub(crate) note_outages: outage_log::OutageLog,
}

impl ActionRunner {
    /// Carries out an action that the core decided on at `now`.
    pub(crate) fn run(&mut self, now: clock::Timestamp, action: control::Action) {
        match action {
            control::Action::Send(to, message) => {
                let traceparent = self.placements.context_of(&message);
                self.peers.send(to, message, traceparent);
            }
            control::Action::ViewChanged(view) => self.peers.set_peers(&view),
            control::Action::InForce(state) => self.addresses.follow(state),
            control::Action::NoteRefused(revision, reason) => {
                tracing::warn!(%revision, %reason, "release note refused");
            }
            control::Action::NotesDiverged(peer, own, theirs) => {
                tracing::error!(%peer, ?own, ?theirs, "states of one revision differ");
            }
            control::Action::PrefillWasted(tokens, cause) => {
                tracing::info!(tokens, %cause, "prefill wasted");
            }
            control::Action::ReadList => self.read_list(),
            control::Action::ReadService(revision) => self.read_notes(revision, false),
            control::Action::WatchService(revision) => self.read_notes(revision, true),
            control::Action::Prefill {
                request,
                attempt,
                engine,
            } => {
                self.placements.end(request);
                self.prefill(request, attempt, &engine);
            }
            control::Action::Import { engine, job } => self.import(&engine, job),
            control::Action::Decode { engine, job } => self.decode(&engine, job),
            control::Action::Cancel(engine, request, attempt) => {
                self.cancel(&engine, request, attempt);
            }
            control::Action::FinishRequest(request, outcome) => {
                self.finish_request(request, outcome);
            }
            control::Action::Attempt {
                request,
                attempt,
                server,
                time_left,
                start_within,
            } => self.attempt((request, attempt), &server, time_left, now + start_within),
            control::Action::FinishCall(request, outcome) => {
                if let Some(session) = self.book.remove_call(request) {
                    session.finish(outcome);
                }
            }
            control::Action::ReadLoad(engine) => self.read_load(engine),
            control::Action::ReadRunning(engine) => self.read_running(engine),
            control::Action::ReadCacheEvents(engine, after) => {
                self.read_cache_events(engine, after);
            }
            control::Action::ReadStatus(engine) => self.read_status(engine),
            control::Action::Order(engine, order, start_within) => {
                self.order(engine, order, now + start_within);
            }
        }
    }

    /// Notices an event before the core takes it.
    pub(crate) fn notice(&mut self, event: &control::Event) {
        match event {
            control::Event::RequestArrived(spec) => {
                if let Some(session) = self.book.answer(spec.request) {
                    self.placements.begin(spec.request, session.trace());
                }
            }
            control::Event::CallerGone(request) => self.placements.end(*request),
            _ => {}
        }
    }

    fn spawn(&self, work: impl future::Future<Output = ()> + Send + 'static) {
        self.traffic.spawn(work);
    }

    fn read_list(&self) {
        let list = sync::Arc::clone(&self.borders.list);
        let port = self.port.clone();
        let outages = self.list_outages.clone();
        self.spawn(async move {
            let answer = list.read().await;
            outages.note(&answer);
            if let Ok(entries) = answer {
                port.tell(control::Event::Listed(entries));
            }
        });
    }

    fn read_notes(&self, revision: ids::Revision, is_watch: bool) {
        let notes = sync::Arc::clone(&self.borders.notes);
        let outages = self.note_outages.clone();
        let port = self.port.clone();
        self.spawn(async move {
            let answer = if is_watch {
                notes.watch(revision).await
            } else {
                notes.read(revision).await
            };
            outages.note(&answer);
            port.tell(control::Event::ServiceResponded(answer.ok()));
        });
    }

    fn prefill(
        &self,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        engine: &ids::ServerName,
    ) {
        // Without a session the caller is gone, and the core is about to hear of it.
        let Some(session) = self.book.answer(request) else {
            return;
        };
        let Some(address) = self.addresses.engine(engine) else {
            let result = Err(withdrawn(engine));
            return self
                .port
                .tell(control::Event::Prefilled(request, attempt, result));
        };
        let engines = sync::Arc::clone(&self.borders.engines);
        let port = self.port.clone();
        let job = session.prefill_job(attempt, self.own);
        let span = tracing::info_span!("prefill", %request, %attempt, %engine);
        self.spawn(hop_span::in_hop(span, session.trace(), async move {
            let result = engines.prefill(address, job).await;
            port.tell(control::Event::Prefilled(request, attempt, result));
        }));
    }

    fn import(&self, engine: &ids::ServerName, job: border::TransferJob) {
        let request = job.request;
        let attempt = job.attempt;
        let Some(session) = self.book.answer(request) else {
            return;
        };
        let Some(address) = self.addresses.engine(engine) else {
            let result = Err(withdrawn(engine));
            return self
                .port
                .tell(control::Event::Imported(request, attempt, result));
        };
        let engines = sync::Arc::clone(&self.borders.engines);
        let port = self.port.clone();
        let span = tracing::info_span!("transfer", %request, %attempt, %engine);
        self.spawn(hop_span::in_hop(span, session.trace(), async move {
            let result = engines.import(address, job).await;
            port.tell(control::Event::Imported(request, attempt, result));
        }));
    }

    fn decode(&self, engine: &ids::ServerName, job: border::DecodeJob) {
        let (request, attempt) = (job.request, job.attempt);
        let Some(session) = self.book.answer(request) else {
            return;
        };
        let Some(address) = self.addresses.engine(engine) else {
            let offset = session.progress().offset();
            let result = Err(withdrawn(engine));
            let event = control::Event::DecodeEnded(request, attempt, offset, result);
            return self.port.tell(event);
        };
        let pump = token_pump::TokenPump {
            session: sync::Arc::clone(&session),
            engines: sync::Arc::clone(&self.borders.engines),
            book: sync::Arc::clone(&self.book),
            port: self.port.clone(),
            engine: address,
            job,
            caller_patience: self.caller_patience,
        };
        let span = tracing::info_span!("decode", %request, %attempt, %engine);
        let task = self
            .traffic
            .spawn(hop_span::in_hop(span, session.trace(), pump.run()));
        session.replace_pump(task.abort_handle());
    }

    fn cancel(
        &self,
        engine: &ids::ServerName,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
    ) {
        let Some(address) = self.addresses.engine(engine) else {
            return;
        };
        let engines = sync::Arc::clone(&self.borders.engines);
        self.spawn(async move {
            for _ in 0..CANCEL_TRIES {
                match engines.cancel(address, request, attempt).await {
                    Ok(()) | Err(border::BorderError::Gone { .. }) => return,
                    Err(error) => tracing::debug!(%request, %error, "cancellation failed"),
                }
                tokio::time::sleep(CANCEL_PAUSE).await;
            }
        });
    }

    fn finish_request(&mut self, request: ids::RequestId, outcome: flow::FlowOutcome) {
        self.placements.end(request);
        let Some(session) = self.book.remove_answer(request) else {
            return;
        };
        if !matches!(outcome, flow::FlowOutcome::Answered(_)) {
            session.stop_pump();
        }
        session.finish(outcome);
    }

    fn attempt(
        &self,
        (request, attempt): (ids::RequestId, ids::AttemptNumber),
        server: &ids::ServerName,
        time_left: time::Duration,
        start_by: clock::Timestamp,
    ) {
        let found = (self.book.call(request), self.addresses.server(server));
        let (Some(session), Some(address)) = found else {
            let result = call::AttemptResult::Failed(withdrawn(server));
            return self
                .port
                .tell(control::Event::AttemptEnded(request, attempt, result));
        };
        let services = sync::Arc::clone(&self.borders.services);
        let port = self.port.clone();
        let job = session.job(attempt, time_left, start_by);
        let span = tracing::info_span!("call", %request, %attempt, %server);
        self.spawn(hop_span::in_hop(span, session.trace(), async move {
            let result = match services.call(address, job).await {
                Ok(reply) => {
                    let status = reply.status.as_u16();
                    session.keep_reply(attempt, reply);
                    call::AttemptResult::Replied(status)
                }
                Err(error) => call::AttemptResult::Failed(error),
            };
            port.tell(control::Event::AttemptEnded(request, attempt, result));
        }));
    }

    fn read_load(&self, engine: ids::ServerName) {
        self.read_engine(engine, |engines, address, engine| async move {
            let report = engines.load(address).await.ok();
            control::Event::Load(engine, report)
        });
    }

    fn read_running(&self, engine: ids::ServerName) {
        self.read_engine(engine, |engines, address, engine| async move {
            let list = engines.running(address).await.ok();
            control::Event::Running(engine, list)
        });
    }

    fn read_cache_events(&self, engine: ids::ServerName, after: u64) {
        self.read_engine(engine, move |engines, address, engine| async move {
            let events = engines.cache_events(address, after).await;
            control::Event::CacheEvents(engine, events.unwrap_or_default())
        });
    }

    fn read_status(&self, engine: ids::ServerName) {
        self.read_engine(engine, |engines, address, engine| async move {
            let status = engines.status(address).await.ok();
            control::Event::Status(engine, status)
        });
    }

    fn order(
        &self,
        engine: ids::ServerName,
        order: border::EngineOrder,
        start_by: clock::Timestamp,
    ) {
        self.read_engine(engine, move |engines, address, engine| async move {
            let number = order.order;
            let answer = engines.order(address, order, start_by).await.ok();
            control::Event::OrderAnswered(engine, number, answer)
        });
    }

    /// Runs an exchange with an engine and tells the core its result.
    fn read_engine<Reading>(
        &self,
        engine: ids::ServerName,
        read: impl FnOnce(
            sync::Arc<dyn border::EngineClient>,
            net::SocketAddr,
            ids::ServerName,
        ) -> Reading,
    ) where
        Reading: future::Future<Output = control::Event> + Send + 'static,
    {
        let Some(address) = self.addresses.engine(&engine) else {
            return;
        };
        let port = self.port.clone();
        let reading = read(sync::Arc::clone(&self.borders.engines), address, engine);
        self.spawn(async move { port.tell(reading.await) });
    }
}

fn withdrawn(server: &ids::ServerName) -> border::BorderError {
    border::BorderError::NotSent {
        detail: format!("`{server}` isn't in force any more"),
    }
}
