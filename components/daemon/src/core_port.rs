//! The queue of events of the control core.

use tokio::sync::mpsc;

/// Puts events into the queue of the control core.
///
/// The queue needs no bound of its own: requests in flight are bounded, each causes a bounded
/// number of events at a time, and messages of peers come through a bounded queue.
#[derive(Clone, Debug)]
pub(crate) struct CorePort {
    events: mpsc::UnboundedSender<control::Event>,
}

impl CorePort {
    /// Makes a port and the queue behind it.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<control::Event>) {
        let (events, receiver) = mpsc::unbounded_channel();
        (Self { events }, receiver)
    }

    /// Puts an event into the queue.
    pub(crate) fn tell(&self, event: control::Event) {
        // The core is gone only when the process ends.
        let _ = self.events.send(event);
    }
}

impl entry::ControlPort for CorePort {
    fn request_arrived(&self, spec: flow::FlowSpec) {
        self.tell(control::Event::RequestArrived(spec));
    }

    fn call_arrived(&self, spec: call::CallSpec) {
        self.tell(control::Event::CallArrived(spec));
    }

    fn caller_gone(&self, request: ids::RequestId) {
        self.tell(control::Event::CallerGone(request));
    }
}
