//! Interface to the backend servers and engines that receive relayed requests.

use std::{net, time};

use futures_util::stream;

use crate::{relay_request, run_evidence};

/// The body of a reply as a stream of chunks; an error means that the body is incomplete.
pub type ReplyBody = stream::BoxStream<'static, Result<bytes::Bytes, border::BorderError>>;

/// A KV cache that a prefill engine holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvSource {
    /// Address of the engine.
    pub address: net::SocketAddr,
    /// Handle of the KV cache at that engine.
    pub handle: String,
}

/// Work that a backend server does for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RelayStep {
    /// Runs the request; [`RelayClient::prefill`] runs its prefill alone.
    Run,
    /// Generates the events that follow those that the caller has received, from a prefill result
    /// if there is one.
    Decode {
        /// Prefill result; without one, the engine runs the prefill itself.
        source: Option<KvSource>,
        /// Address of the engine that may have the prompt in its cache, if there is no source.
        cache_address: Option<net::SocketAddr>,
        /// Number of the last event that the caller has received.
        resume_after: Option<u64>,
    },
}

/// Target and options of sending a request.
#[derive(Clone, Debug, bon::Builder)]
pub struct SendOptions {
    /// Key of the server, which identifies its incarnation.
    pub key: relay::BackendKey,
    /// Name of the server that has to answer; a server of another name refuses the request.
    pub server: ids::ServerName,
    /// Address of the server.
    pub address: net::SocketAddr,
    /// Work that the server does.
    pub step: RelayStep,
    /// Time that is left to the caller's deadline.
    pub time_left: time::Duration,
    /// Latest time at which sending may begin.
    pub start_by: clock::Timestamp,
}

/// The reply of a backend server.
pub struct RelayReply {
    /// HTTP status.
    pub status: http::StatusCode,
    /// End-to-end header fields.
    pub headers: http::HeaderMap,
    /// What shows that the server didn't run the request, if it refused it.
    pub refusal: Option<run_evidence::RefusalProof>,
    /// History of the connection on which the reply arrived.
    pub history: border::ConnectionUse,
    /// Body.
    pub body: ReplyBody,
}

impl RelayReply {
    /// Returns the evidence that the request didn't run.
    pub(crate) const fn evidence(&self) -> run_evidence::RunEvidence {
        run_evidence::RunEvidence {
            proof: self.refusal,
            history: Some(self.history),
        }
    }
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OrderReply {
    /// The engine executes the order, or has already executed it.
    Accepted,
    /// Another order is in progress, or the engine doesn't support the order.
    Refused,
    /// The engine has received a larger fencing token.
    Fenced,
}

/// Sends relayed requests to backend servers and engines.
#[async_trait::async_trait]
pub trait RelayClient: Send + Sync {
    /// Sends a request once; dropping the future or the reply's body cancels it at the server.
    ///
    /// # Errors
    ///
    /// Returns `NotSent` when no byte was sent, `Malformed` when the response isn't a valid answer
    /// to this request, and `Lost` for every other failure after sending.
    async fn send(
        &self,
        request: &relay_request::RelayRequest,
        options: SendOptions,
    ) -> Result<RelayReply, border::BorderError>;

    /// Runs the prefill of a request on a prefill engine.
    ///
    /// # Errors
    ///
    /// The errors of [`RelayClient::send`], and `Refused` when the engine refused the prefill.
    async fn prefill(
        &self,
        request: &relay_request::RelayRequest,
        options: SendOptions,
    ) -> Result<KvSource, border::BorderError>;

    /// Orders an engine to change its stage.
    ///
    /// # Errors
    ///
    /// The errors of [`RelayClient::send`].
    async fn order(&self, order: &relay::StageOrder) -> Result<OrderReply, border::BorderError>;

    /// Returns whether a server that this instance has lost answers a probe, whatever the answer.
    async fn probe(&self, probe: &relay::ServerProbe) -> bool;

    /// Returns whether the process at an address has ended, so that connections are refused.
    async fn has_ended(&self, address: net::SocketAddr) -> bool;

    /// Returns what an engine holds in memory, if the engine is still the incarnation of its entry.
    ///
    /// # Errors
    ///
    /// `Gone` when another process answers, and `Lost`, `NotSent` or `Malformed` without a usable answer.
    async fn memory(
        &self,
        engine: &relay::BackendEntry,
    ) -> Result<relay::EngineMemory, border::BorderError>;

    /// Frees a KV cache that no engine will import.
    ///
    /// # Errors
    ///
    /// The errors of [`RelayClient::send`].
    async fn free(&self, source: KvSource) -> Result<(), border::BorderError>;
}
