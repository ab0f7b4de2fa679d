//! Interface to the other instances that serve requests for this one.

use std::{net, time};

use crate::{relay_answer, relay_client, relay_request};

/// Target and times of a request that another instance serves.
#[derive(Clone, Copy, Debug)]
pub struct ProxyTarget {
    /// Address of the instance.
    pub proxy: net::Ipv4Addr,
    /// Time since the request arrived.
    pub elapsed: time::Duration,
    /// Time that is left to the request's deadline.
    pub time_left: time::Duration,
}

/// Answer of another instance to a request that it was to serve.
pub enum ProxyReply {
    /// The answer of a backend server.
    Server(relay_client::RelayReply),
    /// An answer of the instance itself.
    Instance {
        /// Kind of answer.
        answer: relay_answer::LocalAnswer,
        /// Delay after which a retry is expected to succeed.
        retry_after: Option<time::Duration>,
    },
    /// The instance doesn't serve the request and hasn't run it.
    Declined,
}

/// Sends requests to other instances, which serve them.
#[async_trait::async_trait]
pub trait ProxyClient: Send + Sync {
    /// Sends a request once; dropping the future or the reply's body cancels it there.
    ///
    /// # Errors
    ///
    /// Returns `NotSent` when no byte was sent, and another error when the outcome is unknown.
    async fn forward(
        &self,
        request: &relay_request::RelayRequest,
        target: ProxyTarget,
    ) -> Result<ProxyReply, border::BorderError>;
}
