//! Servers that may serve a request.

use crate::{backend, software_key};

/// Servers that may serve a request: those of a service, and of one software version if the request
/// is bound to it.
#[derive(Clone, Copy, Debug)]
pub struct EnginePool<'a> {
    /// Service of the servers.
    pub service: &'a ids::ServiceName,
    /// Software version of the servers; `None` for any.
    pub software: Option<software_key::SoftwareKey>,
}

impl<'a> EnginePool<'a> {
    /// Returns all servers of a service.
    #[must_use]
    pub const fn of_service(service: &'a ids::ServiceName) -> Self {
        Self {
            service,
            software: None,
        }
    }

    /// Returns whether a server belongs to the pool.
    #[must_use]
    pub fn contains(&self, backend: &backend::Backend) -> bool {
        backend.entry.service == *self.service
            && self
                .software
                .is_none_or(|software| backend.software == software)
    }
}
