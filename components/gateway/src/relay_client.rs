//! The border to backend servers and engines that receive relayed requests.

use std::{net, time};

use futures_util::stream;

use crate::relay_request;

/// The body of a reply, piece by piece; an error means that it isn't complete.
pub type ReplyBody = stream::BoxStream<'static, Result<bytes::Bytes, border::BorderError>>;

/// A KV cache that a prefill engine keeps.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvSource {
    /// Engine that keeps it.
    pub address: net::SocketAddr,
    /// Its name there.
    pub handle: String,
}

/// What a backend server is to do with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RelayStep {
    /// Run it.
    Run,
    /// Generate from a KV cache that was read elsewhere, after the events that the caller has.
    Decode {
        /// Where the KV cache is; the engine reads the prompt itself when there is none.
        source: Option<KvSource>,
        /// Engine that may have the prompt in its cache, when there is no source.
        cache: Option<net::SocketAddr>,
        /// Last event that the caller has received.
        resume_after: Option<u64>,
    },
}

/// Where and how a request is sent.
#[derive(Clone, Debug, bon::Builder)]
pub struct RelaySend {
    /// Incarnation that must be the one that answers.
    pub server: ids::ServerName,
    /// Where it is reached.
    pub address: net::SocketAddr,
    /// What it is to do.
    pub step: RelayStep,
    /// Time that the caller still waits.
    pub time_left: time::Duration,
    /// Latest moment at which the first byte may leave.
    pub start_by: clock::Timestamp,
}

/// The reply of a backend server.
pub struct RelayReply {
    /// Status.
    pub status: http::StatusCode,
    /// Header fields that concern both ends.
    pub headers: http::HeaderMap,
    /// Whether the server says that the request was not run.
    pub not_run: bool,
    /// Body.
    pub body: ReplyBody,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OrderReply {
    /// The engine carries it out, or has done so before.
    Accepted,
    /// Another order is under way, or the engine knows no such order.
    Refused,
    /// The engine has seen a larger fencing number.
    Fenced,
}

/// Sends relayed requests to backend servers and engines.
#[async_trait::async_trait]
pub trait RelayClient: Send + Sync {
    /// Sends a request once; dropping the future or the reply's body cancels it at the server.
    ///
    /// # Errors
    ///
    /// `NotSent` when no byte left, `Malformed` when what came is no answer to this request, and
    /// `Lost` for every other failure after sending.
    async fn send(
        &self,
        request: &relay_request::RelayRequest,
        send: RelaySend,
    ) -> Result<RelayReply, border::BorderError>;

    /// Has a prefill engine read the prompt of a request.
    ///
    /// # Errors
    ///
    /// As [`RelayClient::send`], and `Refused` when the engine refused the prompt.
    async fn prefill(
        &self,
        request: &relay_request::RelayRequest,
        send: RelaySend,
    ) -> Result<KvSource, border::BorderError>;

    /// Orders an engine to take another stage.
    ///
    /// # Errors
    ///
    /// As [`RelayClient::send`].
    async fn order(&self, order: &relay::StageOrder) -> Result<OrderReply, border::BorderError>;

    /// Frees a KV cache that nobody takes.
    ///
    /// # Errors
    ///
    /// As [`RelayClient::send`].
    async fn free(&self, source: KvSource) -> Result<(), border::BorderError>;
}
