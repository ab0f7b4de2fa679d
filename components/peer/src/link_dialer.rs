//! Opens links to peers.

use std::{net, sync};

use futures_util::StreamExt as _;
use tokio::time;
use tokio_stream::wrappers;
use tonic::{metadata, transport};

use crate::{hub_shared, link_reader, link_service, peer_link};

/// Largest message that is accepted, in bytes; several release notes may travel in one.
pub(crate) const MESSAGE_LIMIT_BYTES: usize = 8 * 1_024 * 1_024;

/// Errors of opening a link.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DialError {
    /// The address can't be connected to.
    #[error("no connection: {0}")]
    Connect(#[from] transport::Error),
    /// The peer refused the stream.
    #[error("no stream: {0}")]
    Open(#[from] Box<tonic::Status>),
    /// The peer didn't answer in time.
    #[error("no answer in time")]
    Timeout(#[from] time::error::Elapsed),
}

/// Opens a link to a peer and starts reading from it.
pub(crate) async fn open_link(
    hub: &sync::Arc<hub_shared::HubShared>,
    peer: ids::InstanceId,
    address: net::SocketAddr,
) -> Result<peer_link::PeerLink, DialError> {
    let config = &hub.config;
    let channel = transport::Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(config.connect_timeout)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(config.keepalive_interval)
        .keep_alive_timeout(config.keepalive_interval)
        .connect()
        .await?;
    let mut client = wire::proto::peer_link_client::PeerLinkClient::new(channel)
        .max_decoding_message_size(MESSAGE_LIMIT_BYTES);
    let (link, queue) = peer_link::PeerLink::new(peer, hub.stopped.child_token());
    let closed = link.closed().clone().cancelled_owned();
    let envelopes = wrappers::ReceiverStream::new(queue).take_until(closed);
    let mut request = tonic::Request::new(envelopes);
    let own = metadata::MetadataValue::from(hub.config.own.0);
    request
        .metadata_mut()
        .insert(link_service::INSTANCE_FIELD, own);
    let opening = client.exchange(request);
    let answer = time::timeout(config.connect_timeout, opening)
        .await?
        .map_err(Box::new)?;
    let reader = link_reader::LinkReader::new(sync::Arc::clone(hub), link.clone());
    tokio::spawn(async move {
        reader.run(answer.into_inner()).await;
        drop(client);
    });
    Ok(link)
}
