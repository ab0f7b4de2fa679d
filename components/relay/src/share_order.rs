//! Assigns waiting requests their positions in the order of shares.

use crate::{instance_update, service_shares, share_registry, stream_request};

/// Assigns waiting requests their positions in the order of shares: each behind those of its workspace that
/// were assigned one before.
pub(crate) struct ShareOrder<'a> {
    registry: &'a share_registry::ShareRegistry,
    services: Vec<ServiceOrder<'a>>,
}

/// Assigns the requests of one service their positions.
pub(crate) struct ServiceOrder<'a> {
    service: &'a ids::ServiceName,
    /// Shares of the service; `None` for an unknown one, whose requests all count as within their share.
    shares: Option<&'a service_shares::ServiceShares>,
    /// Tokens of the requests of each active workspace that already have a position.
    ahead: Vec<f64>,
}

impl<'a> ShareOrder<'a> {
    /// Creates an order in which no request has a position yet.
    pub(crate) const fn new(registry: &'a share_registry::ShareRegistry) -> Self {
        Self {
            registry,
            services: Vec::new(),
        }
    }

    /// Returns the position of a workspace's next request.
    pub(crate) fn next_position(
        &mut self,
        request: &'a stream_request::StreamRequest,
    ) -> service_shares::SharePosition {
        let service = &request.service;
        let known = self
            .services
            .iter()
            .position(|order| order.service == service);
        let index = known.unwrap_or_else(|| {
            self.services
                .push(ServiceOrder::new(self.registry, service));
            self.services.len() - 1
        });
        self.services
            .get_mut(index)
            .map(|order| order.next_position(request))
            .unwrap_or_default()
    }
}

impl<'a> ServiceOrder<'a> {
    /// Creates an order in which no request has a position yet.
    pub(crate) fn new(
        registry: &'a share_registry::ShareRegistry,
        service: &'a ids::ServiceName,
    ) -> Self {
        let shares = registry.service(instance_update::service_hash(service));
        Self {
            service,
            shares,
            ahead: vec![0.0; shares.map_or(0, service_shares::ServiceShares::len)],
        }
    }

    /// Returns the position of a workspace's next request at the service.
    pub(crate) fn next_position(
        &mut self,
        request: &stream_request::StreamRequest,
    ) -> service_shares::SharePosition {
        let Some(shares) = self.shares else {
            return service_shares::SharePosition::default();
        };
        let index = shares.index(request.workspace);
        let Some((index, ahead)) =
            index.and_then(|index| Some((index, self.ahead.get_mut(index)?)))
        else {
            return service_shares::SharePosition::default();
        };
        let position = shares.position(index, *ahead);
        *ahead += f64::from(request.usage_tokens());
        position
    }

    /// Returns the position of a request behind `ahead` tokens of its workspace's other requests.
    pub(crate) fn position_behind(
        &self,
        request: &stream_request::StreamRequest,
        ahead: u64,
    ) -> service_shares::SharePosition {
        let index = self
            .shares
            .and_then(|shares| Some((shares, shares.index(request.workspace)?)));
        index.map_or_else(service_shares::SharePosition::default, |(shares, index)| {
            shares.position(index, ahead as f64)
        })
    }
}
