//! Waiting request in a state update.

use std::time;

use crate::{engine_usage, software_key, stream_request, wait_queue, workspace_key};

/// Waiting request of an instance, as sent in its state updates.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder)]
pub struct QueueUpdate {
    /// Hash of the service from [`crate::service_hash`].
    pub service: u64,
    /// Whether the caller has already received a part of the answer.
    #[builder(default)]
    pub resumes: bool,
    /// Priority of the workspace or route; 0 is the highest.
    #[builder(default)]
    pub priority: u8,
    /// Load that the request will put on a decode engine.
    pub load: engine_usage::StreamLoad,
    /// Milliseconds until the first token is due; negative when it is overdue.
    pub due_in_millis: i32,
    /// Remaining time in which a placement leads to a first token on time.
    pub timely_for: time::Duration,
    /// Seed of the engine selection, the same on all instances.
    pub selection_seed: u32,
    /// Hash of the software version to which the request is bound, if it is.
    pub software_version: Option<u64>,
    /// Workspace that asks.
    #[builder(default)]
    pub workspace: workspace_key::WorkspaceKey,
}

impl QueueUpdate {
    /// Creates the update for a request that waits at `now`.
    #[must_use]
    pub fn new(now: clock::Timestamp, service: u64, waiting: &wait_queue::WaitingRequest) -> Self {
        let request = &waiting.request;
        let due_in = request.first_token_due.since(now).as_millis();
        let overdue = now.since(request.first_token_due).as_millis();
        let to_i32 = |millis| i32::try_from(millis).unwrap_or(i32::MAX);
        Self {
            service,
            resumes: request.resumes,
            priority: request.priority,
            load: request.load(),
            due_in_millis: to_i32(due_in) - to_i32(overdue),
            timely_for: waiting.timely_until.since(now),
            selection_seed: waiting.selection_seed,
            software_version: request.software.map(|software| software.version),
            workspace: request.workspace,
        }
    }

    /// Returns the waiting request for an update received at `received_at`, with the name of its
    /// service.
    #[must_use]
    pub fn to_waiting_request(
        &self,
        received_at: clock::Timestamp,
        service: &ids::ServiceName,
    ) -> wait_queue::WaitingRequest {
        let offset = time::Duration::from_millis(u64::from(self.due_in_millis.unsigned_abs()));
        let due = if self.due_in_millis < 0 {
            received_at.before(offset)
        } else {
            received_at + offset
        };
        let software = self
            .software_version
            .map(|version| software_key::SoftwareKey {
                service: self.service,
                version,
            });
        let request = stream_request::StreamRequest::builder()
            .service(service.clone())
            .priority(self.priority)
            .workspace(self.workspace)
            .prompt_tokens(self.load.held)
            .output_tokens(self.load.remaining)
            .estimated_tokens(self.load.remaining)
            .first_token_due(due)
            .wait_until(clock::Timestamp::MAX)
            .resumes(self.resumes)
            .maybe_software(software)
            .build();
        wait_queue::WaitingRequest {
            ticket: None,
            request,
            timely_until: received_at + self.timely_for,
            selection_seed: self.selection_seed,
        }
    }
}
