//! The way from the callers' side to the control core.

/// Tells the control core what callers do; none of the methods blocks.
pub trait ControlPort: Send + Sync {
    /// A model request arrived.
    fn request_arrived(&self, spec: flow::FlowSpec);

    /// A call arrived.
    fn call_arrived(&self, spec: call::CallSpec);

    /// A caller closed its connection.
    fn caller_gone(&self, request: ids::RequestId);
}
