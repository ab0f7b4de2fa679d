//! A request that is relayed to a backend server.

use std::{net, sync, time};

/// Sizes of a generation, which the caller states in header fields.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GenerationSize {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub output_tokens: u32,
    /// Number of output tokens that the caller expects; often inaccurate.
    pub expected_tokens: Option<u32>,
}

/// A request that is relayed to a backend server.
#[derive(Clone, Debug, bon::Builder)]
pub struct RelayRequest {
    /// Id that the caller gave this attempt.
    pub id: String,
    /// HTTP method.
    pub method: http::Method,
    /// Path and query, unchanged.
    pub target: String,
    /// Host of the request, possibly with a port.
    pub host: String,
    /// Address of the caller.
    pub caller: net::IpAddr,
    /// End-to-end header fields, without those that the system itself sets.
    pub headers: http::HeaderMap,
    /// What the caller presents to show its workspace.
    #[builder(default)]
    pub key: workspace::PresentedKey,
    /// How the request is admitted, once that is decided.
    #[builder(default)]
    pub admission: relay::Admission,
    /// Body.
    pub body: bytes::Bytes,
    /// Memory that the head and the body hold, as long as there is a copy of the request.
    pub memory: Option<sync::Arc<intake::RequestShare>>,
    /// Time from the arrival to the caller's deadline.
    pub time_left: time::Duration,
    /// Sizes, if the request is a generation.
    pub size: Option<GenerationSize>,
    /// Hashes by which the request is recognized when it comes again.
    #[builder(default)]
    pub identity: relay::RequestIdentity,
    /// Segments of the prompt from [`relay::segment_hash`], without the last one, which is the
    /// request's own.
    #[builder(default)]
    pub segments: Vec<u64>,
    /// Last part of the prompt, the request's own or that of its session, from [`relay::part_hash`].
    pub last_part: Option<u64>,
    /// Number of the last event that the caller has received in an earlier attempt.
    pub resume_after: Option<u64>,
    /// Id of the caller's attempt that brought the first event of the stream, if this one takes the
    /// stream up.
    pub begun_by: Option<String>,
}

impl RelayRequest {
    /// Returns the request with the decision on its admission. Where workspaces are in force the key
    /// is dropped, and the workspace counts as the caller.
    #[must_use]
    pub(crate) fn admitted(mut self, admission: relay::Admission) -> Self {
        if admission != relay::Admission::NotNeeded {
            self.headers.remove(http::header::AUTHORIZATION);
        }
        if let Some(workspace) = admission.workspace() {
            self.identity = self.identity.of_workspace(&workspace.name);
        }
        self.admission = admission;
        self
    }

    /// Returns whether another instance has passed the digest of the key on in place of the key.
    pub(crate) fn has_passed_digest(&self) -> bool {
        let has_key = self.headers.contains_key(http::header::AUTHORIZATION);
        matches!(self.key, workspace::PresentedKey::Present(_)) && !has_key
    }

    /// Returns the host without a port.
    #[must_use]
    pub fn host_name(&self) -> &str {
        self.host.split(':').next().unwrap_or_default()
    }

    /// Returns what may crash servers: the segments of the prompt, the whole request and its path.
    #[must_use]
    pub fn suspects(&self) -> Vec<u64> {
        let segments = self.segments.iter().copied();
        segments.chain(self.identity.suspects()).collect()
    }

    /// Returns whether the request takes up a stream that an earlier attempt of the caller began.
    #[must_use]
    pub const fn takes_up_stream(&self) -> bool {
        self.resume_after.is_some() || self.begun_by.is_some()
    }

    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}
