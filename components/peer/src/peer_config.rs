//! What a hub is started with.

use std::{net, sync, time};

/// What a hub is started with.
#[derive(Clone, Debug, bon::Builder)]
pub struct PeerConfig {
    /// This instance.
    pub own: ids::InstanceId,
    /// This process of the instance.
    pub incarnation: ids::Incarnation,
    /// Address to listen on; port 0 takes any free port.
    pub listen: net::SocketAddr,
    /// Time to open a connection.
    #[builder(default = time::Duration::from_millis(500))]
    pub connect_timeout: time::Duration,
    /// Time a message may stay unacknowledged before its stream is replaced; longer than the
    /// longest round trip between instances.
    #[builder(default = time::Duration::from_millis(500))]
    pub silence_timeout: time::Duration,
    /// Time without messages after which a stream is closed.
    #[builder(default = time::Duration::from_secs(10))]
    pub idle_timeout: time::Duration,
    /// Time for which an acknowledgement waits for a message to travel with.
    #[builder(default = time::Duration::from_millis(20))]
    pub ack_delay: time::Duration,
    /// Time between two HTTP/2 keepalive probes.
    #[builder(default = time::Duration::from_secs(5))]
    pub keepalive_interval: time::Duration,
    /// Takes the connections of other instances; that of the process, or one of the hub's own.
    #[builder(default = intake::Intake::standalone())]
    pub intake: sync::Arc<intake::Intake>,
    /// Messages that wait for one peer at most; further ones are dropped.
    #[builder(default = 1_024)]
    pub queue_length: usize,
}
