//! The border to plain services.

use std::net;

use crate::{border_error, call_job, call_reply};

/// Sends calls to backend servers of plain services.
#[async_trait::async_trait]
pub trait ServiceClient: Send + Sync {
    /// Sends a call once; the error says what it proves.
    async fn call(
        &self,
        server: net::SocketAddr,
        job: call_job::CallJob,
    ) -> Result<call_reply::CallReply, border_error::BorderError>;
}
