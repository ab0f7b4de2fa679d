//! Reads back from an instance.

use std::{net, time};

use http_body_util::BodyExt as _;
use hyper_util::{client::legacy, rt};

use crate::{admin_error, engine_report, state_report};

/// Largest report of an instance, in bytes.
const REPORT_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Time within which an instance must answer.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Path of what is in force.
const STATE_PATH: &str = "/state";

/// Path of the engines.
const ENGINES_PATH: &str = "/engines";

type HttpClient =
    legacy::Client<legacy::connect::HttpConnector, http_body_util::Empty<bytes::Bytes>>;

/// Reads back from the admin address of an instance.
pub struct AdminClient {
    address: net::SocketAddr,
    client: HttpClient,
}

impl AdminClient {
    /// Makes a client for an admin address.
    #[must_use]
    pub fn new(address: net::SocketAddr) -> Self {
        let client = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
        Self { address, client }
    }

    /// Reads what is in force and what the instance does.
    ///
    /// # Errors
    ///
    /// Returns [`admin_error::AdminError`] when there is no answer or it can't be read.
    pub async fn state(&self) -> Result<state_report::StateReport, admin_error::AdminError> {
        self.read(STATE_PATH).await
    }

    /// Reads the engines in force.
    ///
    /// # Errors
    ///
    /// Returns [`admin_error::AdminError`] when there is no answer or it can't be read.
    pub async fn engines(
        &self,
    ) -> Result<Vec<engine_report::EngineReport>, admin_error::AdminError> {
        self.read(ENGINES_PATH).await
    }

    async fn read<Report: serde::de::DeserializeOwned>(
        &self,
        path: &'static str,
    ) -> Result<Report, admin_error::AdminError> {
        let body = tokio::time::timeout(ANSWER_TIMEOUT, self.fetch(path))
            .await
            .map_err(|_| admin_error::AdminError::Timeout {
                address: self.address,
                path,
            })??;
        serde_json::from_slice(&body).map_err(|source| admin_error::AdminError::Malformed {
            address: self.address,
            path,
            source,
        })
    }

    async fn fetch(&self, path: &'static str) -> Result<bytes::Bytes, admin_error::AdminError> {
        let uri = http::Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(path)
            .build()
            .map_err(|error| self.no_answer(path, error))?;
        let answer = self
            .client
            .get(uri)
            .await
            .map_err(|error| self.no_answer(path, error))?;
        let status = answer.status();
        if status != http::StatusCode::OK {
            return Err(admin_error::AdminError::Status {
                address: self.address,
                path,
                status,
            });
        }
        let body = http_body_util::Limited::new(answer.into_body(), REPORT_LIMIT_BYTES);
        let body = body.collect().await;
        body.map(http_body_util::Collected::to_bytes)
            .map_err(|error| self.no_answer(path, error))
    }

    fn no_answer(
        &self,
        path: &'static str,
        source: impl Into<Box<dyn std::error::Error + Send + Sync>>,
    ) -> admin_error::AdminError {
        admin_error::AdminError::NoAnswer {
            address: self.address,
            path,
            source: source.into(),
        }
    }
}
