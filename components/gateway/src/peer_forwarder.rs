//! Collects state updates of other instances until they are forwarded.

/// Largest size of the forwarded updates in one datagram, in bytes.
const MAX_FORWARDED_BYTES: usize = 4 * 1024;

/// Updates for one datagram.
pub(crate) type UpdateBatch = Vec<Vec<u8>>;

/// Encoded state updates that wait to be forwarded to the same receivers.
#[derive(Debug, Default)]
struct PendingUpdates {
    batches: Vec<UpdateBatch>,
    /// Size of the last batch in bytes.
    last_size: usize,
}

impl PendingUpdates {
    fn push(&mut self, update: Vec<u8>) {
        let fits = self.last_size + update.len() <= MAX_FORWARDED_BYTES;
        self.last_size = if fits { self.last_size } else { 0 } + update.len();
        match self.batches.last_mut().filter(|_| fits) {
            Some(batch) => batch.push(update),
            None => self.batches.push(vec![update]),
        }
    }

    /// Returns the updates in batches for one datagram each; at least one batch, which may be empty.
    fn take(&mut self) -> Vec<UpdateBatch> {
        self.last_size = 0;
        let mut batches = std::mem::take(&mut self.batches);
        if batches.is_empty() {
            batches.push(UpdateBatch::new());
        }
        batches
    }
}

/// Collects state updates of other instances until they are forwarded.
#[derive(Debug, Default)]
pub(crate) struct PeerForwarder {
    to_members: PendingUpdates,
    to_forwarders: PendingUpdates,
}

impl PeerForwarder {
    /// Adds an encoded update.
    pub(crate) fn push(&mut self, scope: relay::ForwardScope, update: &[u8]) {
        match scope {
            relay::ForwardScope::Nowhere => {}
            relay::ForwardScope::Members => self.to_members.push(update.to_vec()),
            relay::ForwardScope::Everywhere => {
                self.to_members.push(update.to_vec());
                self.to_forwarders.push(update.to_vec());
            }
        }
    }

    /// Returns and removes the updates for the instances of the own data centre.
    pub(crate) fn take_for_members(&mut self) -> Vec<UpdateBatch> {
        self.to_members.take()
    }

    /// Returns and removes the updates for the forwarders of the other data centres.
    pub(crate) fn take_for_forwarders(&mut self) -> Vec<UpdateBatch> {
        self.to_forwarders.take()
    }
}
