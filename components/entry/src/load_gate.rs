//! Bounds on the requests in flight at once.

use std::{collections, sync};

use crate::entry_error;

/// Bounds on the requests in flight at once, for the instance and for each workspace.
pub struct LoadGate {
    requests: sync::Arc<tokio::sync::Semaphore>,
    workspaces: sync::Mutex<collections::HashMap<ids::WorkspaceName, u32>>,
}

/// A place among the requests in flight; dropping it frees the place.
pub(crate) struct LoadTicket {
    gate: sync::Arc<LoadGate>,
    workspace: ids::WorkspaceName,
    _request: tokio::sync::OwnedSemaphorePermit,
}

impl LoadGate {
    /// Makes a gate with the bounds of `limits`.
    #[must_use]
    pub fn new(limits: &settings::RequestLimits) -> sync::Arc<Self> {
        let most = tokio::sync::Semaphore::MAX_PERMITS;
        let requests = limits.in_flight_requests.min(most);
        sync::Arc::new(Self {
            requests: sync::Arc::new(tokio::sync::Semaphore::new(requests)),
            workspaces: sync::Mutex::default(),
        })
    }

    /// Takes a place for a request of `workspace`.
    pub(crate) fn enter(
        self: &sync::Arc<Self>,
        workspace: &note::WorkspaceEntry,
    ) -> Result<LoadTicket, entry_error::EntryError> {
        let request = sync::Arc::clone(&self.requests)
            .try_acquire_owned()
            .map_err(|_| entry_error::EntryError::InstanceFull)?;
        let mut workspaces = self.lock();
        let count = workspaces.entry(workspace.name.clone()).or_default();
        if *count >= workspace.in_flight_limit {
            return Err(entry_error::EntryError::WorkspaceFull);
        }
        *count += 1;
        drop(workspaces);
        Ok(LoadTicket {
            gate: sync::Arc::clone(self),
            workspace: workspace.name.clone(),
            _request: request,
        })
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<ids::WorkspaceName, u32>> {
        self.workspaces
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Drop for LoadTicket {
    fn drop(&mut self) {
        let mut workspaces = self.gate.lock();
        if let Some(count) = workspaces.get_mut(&self.workspace) {
            *count -= 1;
            if *count == 0 {
                workspaces.remove(&self.workspace);
            }
        }
    }
}
