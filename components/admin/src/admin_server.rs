//! The server on the admin address.

use std::{future, io, net, sync};

use axum::{extract, response, routing};

use crate::{admin_error, engine_report, operator_listener, state_report, state_source};

/// Largest body of a request, in bytes; operators send none.
const BODY_LIMIT_BYTES: usize = 1_024;

/// What the handlers read from.
#[derive(Clone)]
struct AdminContext {
    source: sync::Arc<dyn state_source::StateSource>,
    meter: meter::Meter,
}

/// Answers operators on the admin address.
pub struct AdminServer {
    listener: net::TcpListener,
    address: net::SocketAddr,
    context: AdminContext,
    intake: sync::Arc<intake::Intake>,
}

impl AdminServer {
    /// Listens on the admin address; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// Returns [`admin_error::AdminError::Listen`] when the address can't be listened on.
    pub fn bind(
        address: net::SocketAddr,
        source: sync::Arc<dyn state_source::StateSource>,
        meter: meter::Meter,
    ) -> Result<Self, admin_error::AdminError> {
        let listen_error = |source| admin_error::AdminError::Listen { address, source };
        let listener = net::TcpListener::bind(address).map_err(listen_error)?;
        listener.set_nonblocking(true).map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        Ok(Self {
            listener,
            address,
            context: AdminContext { source, meter },
            intake: intake::Intake::standalone(),
        })
    }

    /// Takes connections through the intake of the process instead of one of its own.
    #[must_use]
    pub fn with_intake(mut self, intake: sync::Arc<intake::Intake>) -> Self {
        self.intake = intake;
        self
    }

    /// Returns the address the server listens on.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Answers until `stopped` is done.
    pub async fn run(self, stopped: impl future::Future<Output = ()> + Send + 'static) {
        let router = axum::Router::new()
            .route("/state", routing::get(state))
            .route("/engines", routing::get(engines))
            .route("/metrics", routing::get(metrics))
            .layer(extract::DefaultBodyLimit::max(BODY_LIMIT_BYTES))
            .with_state(self.context);
        if let Err(error) = serve(self.listener, self.intake, router, stopped).await {
            tracing::error!(%error, "no longer answering operators");
        }
    }
}

async fn serve(
    listener: net::TcpListener,
    intake: sync::Arc<intake::Intake>,
    router: axum::Router,
    stopped: impl future::Future<Output = ()> + Send + 'static,
) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let class = intake::ConnectionClass::Operator;
    let listener = intake::ConnectionListener::new(listener, intake, class);
    axum::serve(operator_listener::OperatorListener::new(listener), router)
        .with_graceful_shutdown(stopped)
        .await
}

async fn state(
    extract::State(context): extract::State<AdminContext>,
) -> axum::Json<state_report::StateReport> {
    axum::Json(context.source.state())
}

async fn engines(
    extract::State(context): extract::State<AdminContext>,
) -> axum::Json<Vec<engine_report::EngineReport>> {
    axum::Json(context.source.engines())
}

async fn metrics(
    extract::State(context): extract::State<AdminContext>,
) -> impl response::IntoResponse {
    let headers = [(http::header::CONTENT_TYPE, meter::Meter::CONTENT_TYPE)];
    (headers, context.meter.render())
}
