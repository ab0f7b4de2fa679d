//! Accepts links from peers.

use std::sync;

use futures_util::{StreamExt as _, stream};
use tokio_stream::wrappers;

use crate::{hub_shared, link_reader, peer_link};

/// Metadata field that names the instance which opens a link.
pub(crate) const INSTANCE_FIELD: &str = "x-instance";

/// Accepts links from peers.
pub(crate) struct LinkService {
    hub: sync::Arc<hub_shared::HubShared>,
}

impl LinkService {
    /// Makes the service of a hub.
    pub(crate) const fn new(hub: sync::Arc<hub_shared::HubShared>) -> Self {
        Self { hub }
    }
}

#[tonic::async_trait]
impl wire::proto::peer_link_server::PeerLink for LinkService {
    type ExchangeStream = stream::BoxStream<'static, Result<wire::proto::Envelope, tonic::Status>>;

    async fn exchange(
        &self,
        request: tonic::Request<tonic::Streaming<wire::proto::Envelope>>,
    ) -> Result<tonic::Response<Self::ExchangeStream>, tonic::Status> {
        let peer = named_instance(request.metadata())?;
        let (link, queue) = peer_link::PeerLink::new(peer, self.hub.stopped.child_token());
        let reader = link_reader::LinkReader::new(sync::Arc::clone(&self.hub), link.clone());
        tokio::spawn(reader.run(request.into_inner()));
        let closed = link.closed().clone().cancelled_owned();
        self.hub.queue_link(link);
        let envelopes = wrappers::ReceiverStream::new(queue)
            .map(Ok)
            .take_until(closed);
        Ok(tonic::Response::new(envelopes.boxed()))
    }
}

fn named_instance(
    metadata: &tonic::metadata::MetadataMap,
) -> Result<ids::InstanceId, tonic::Status> {
    metadata
        .get(INSTANCE_FIELD)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map(ids::InstanceId)
        .ok_or_else(|| tonic::Status::invalid_argument("the opening instance is not named"))
}
