//! A stand-in configuration service.

use std::{io, net, sync, sync::atomic, time};

use axum::routing;

use crate::stand_server;

/// Time after which an idle watch is answered.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(20);

/// What the handlers use.
struct ConfigState {
    values: tokio::sync::watch::Sender<Vec<border::NoteValue>>,
    is_down: atomic::AtomicBool,
    calls: atomic::AtomicU64,
}

/// A stand-in configuration service on loopback.
pub struct ConfigStand {
    state: sync::Arc<ConfigState>,
    server: stand_server::StandServer,
}

#[derive(serde::Deserialize)]
struct AfterQuery {
    after: u64,
}

type SharedState = axum::extract::State<sync::Arc<ConfigState>>;
type ValueAnswer = Result<axum::Json<Vec<border::NoteValue>>, http::StatusCode>;

impl ConfigStand {
    /// Starts a service without values.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let state = sync::Arc::new(ConfigState {
            values: tokio::sync::watch::Sender::new(Vec::new()),
            is_down: atomic::AtomicBool::new(false),
            calls: atomic::AtomicU64::new(0),
        });
        let router = axum::Router::new()
            .route("/notes", routing::get(read))
            .route("/notes/watch", routing::get(watch))
            .with_state(sync::Arc::clone(&state));
        let listener = stand_server::StandServer::bind().await?;
        let server = stand_server::StandServer::serve(listener, router)?;
        Ok(Self { state, server })
    }

    /// Returns the address of the service.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Serves one more note.
    pub fn publish(&self, revision: ids::Revision, text: impl Into<String>) {
        let value = border::NoteValue {
            revision,
            text: text.into(),
        };
        self.state.values.send_modify(|values| values.push(value));
    }

    /// Makes the service fail every call, or work again.
    pub fn set_down(&self, is_down: bool) {
        self.state.is_down.store(is_down, atomic::Ordering::Release);
    }

    /// Returns how many calls were made.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state.calls.load(atomic::Ordering::Acquire)
    }
}

impl ConfigState {
    fn count_call(&self) -> Result<(), http::StatusCode> {
        self.calls.fetch_add(1, atomic::Ordering::AcqRel);
        if self.is_down.load(atomic::Ordering::Acquire) {
            return Err(http::StatusCode::INTERNAL_SERVER_ERROR);
        }
        Ok(())
    }
}

async fn read(
    axum::extract::State(state): SharedState,
    axum::extract::Query(query): axum::extract::Query<AfterQuery>,
) -> ValueAnswer {
    state.count_call()?;
    Ok(axum::Json(newer(&state.values.borrow(), query.after)))
}

async fn watch(
    axum::extract::State(state): SharedState,
    axum::extract::Query(query): axum::extract::Query<AfterQuery>,
) -> ValueAnswer {
    state.count_call()?;
    let mut values = state.values.subscribe();
    let news = values.wait_for(|values| !newer(values, query.after).is_empty());
    match tokio::time::timeout(WATCH_WAIT, news).await {
        Ok(Ok(values)) => Ok(axum::Json(newer(&values, query.after))),
        Ok(Err(_)) | Err(_) => Ok(axum::Json(Vec::new())),
    }
}

fn newer(values: &[border::NoteValue], after: u64) -> Vec<border::NoteValue> {
    values
        .iter()
        .filter(|value| value.revision.0 > after)
        .cloned()
        .collect()
}
