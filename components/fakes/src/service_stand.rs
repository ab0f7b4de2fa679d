//! A stand-in backend server of a plain service.

use std::{collections, io, net, sync, time};

use axum::response::IntoResponse as _;

use crate::stand_server;

/// What a stand-in server does with a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServiceBehaviour {
    /// Runs the call and answers.
    #[default]
    Answer,
    /// Runs the call and answers with a body of this many bytes.
    AnswerLarge(usize),
    /// Runs the call and never answers.
    RunAndHang,
}

/// What the handlers use.
struct ServiceState {
    latency: time::Duration,
    behaviour: sync::Mutex<ServiceBehaviour>,
    /// Runs of each call, by method, target and body.
    runs: sync::Mutex<collections::BTreeMap<String, u32>>,
    /// Trace headers of the calls.
    traces: sync::Mutex<Vec<String>>,
}

/// A stand-in backend server on loopback that counts what it runs.
pub struct ServiceStand {
    state: sync::Arc<ServiceState>,
    server: stand_server::StandServer,
}

impl ServiceStand {
    /// Starts a server that answers after `latency`.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no port can be bound.
    pub async fn start(latency: time::Duration) -> io::Result<Self> {
        let state = sync::Arc::new(ServiceState {
            latency,
            behaviour: sync::Mutex::default(),
            runs: sync::Mutex::default(),
            traces: sync::Mutex::default(),
        });
        let router = axum::Router::new()
            .fallback(run)
            .with_state(sync::Arc::clone(&state));
        let listener = stand_server::StandServer::bind().await?;
        let server = stand_server::StandServer::serve(listener, router)?;
        Ok(Self { state, server })
    }

    /// Returns the address of the server.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Changes what the server does with calls.
    pub fn behave(&self, behaviour: ServiceBehaviour) {
        *lock(&self.state.behaviour) = behaviour;
    }

    /// Returns how often each call ran, by method, target and body.
    #[must_use]
    pub fn runs(&self) -> collections::BTreeMap<String, u32> {
        lock(&self.state.runs).clone()
    }

    /// Returns the trace headers of the calls, in the order of arrival.
    #[must_use]
    pub fn traces(&self) -> Vec<String> {
        lock(&self.state.traces).clone()
    }

    /// Ends the server at once.
    pub fn kill(&self) {
        self.server.kill();
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence(&self) {
        self.server.silence();
    }
}

async fn run(
    axum::extract::State(state): axum::extract::State<sync::Arc<ServiceState>>,
    method: http::Method,
    uri: http::Uri,
    headers: http::HeaderMap,
    body: bytes::Bytes,
) -> axum::response::Response {
    let name = format!("{method} {uri} {}", String::from_utf8_lossy(&body));
    if let Some(Ok(trace)) = headers
        .get(border::TRACE_HEADER)
        .map(|value| value.to_str())
    {
        lock(&state.traces).push(trace.to_owned());
    }
    let count = {
        let mut runs = lock(&state.runs);
        let count = runs.entry(name).or_default();
        *count += 1;
        *count
    };
    let behaviour = *lock(&state.behaviour);
    if behaviour == ServiceBehaviour::RunAndHang {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(state.latency).await;
    match behaviour {
        ServiceBehaviour::AnswerLarge(bytes) => vec![b'x'; bytes].into_response(),
        _ => axum::Json(count).into_response(),
    }
}

fn lock<Value>(mutex: &sync::Mutex<Value>) -> sync::MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
