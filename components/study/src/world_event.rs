//! Events of the study's world.

use fakes::engine_model;

/// What happens in the study's world.
#[derive(Clone, Debug)]
pub enum WorldEvent {
    /// An event reaches an instance.
    Core(usize, control::Event),
    /// An instance wanted to be woken.
    CoreWake(usize),
    /// An engine's own time has come.
    EngineWake(usize),
    /// A call reaches an engine.
    Engine(usize, EngineCall),
    /// A request arrives.
    Arrive(usize),
    /// A caller leaves.
    Leave(usize),
    /// The fault happens.
    Fault,
    /// Engine memory is searched for work whose request has ended.
    Inspect,
}

/// A call to an engine.
#[derive(Clone, Debug)]
pub enum EngineCall {
    /// An instance asks for a prefill.
    Prefill(usize, ids::RequestId, ids::AttemptNumber),
    /// An instance asks for an import.
    Import(usize, border::TransferJob),
    /// An instance asks for tokens.
    Decode(usize, border::DecodeJob),
    /// Somebody ends an attempt.
    Cancel(engine_model::WorkKey),
    /// An engine asks for the KV cache of a handle, for its import.
    Export(u64, usize, engine_model::WorkKey),
    /// The source of an import has sent everything.
    SourceSent(engine_model::WorkKey),
    /// An import can't be had from its source any more.
    SourceGone(engine_model::WorkKey),
    /// An instance reads the load report.
    Load(usize),
    /// An instance reads the running list.
    Running(usize),
    /// An instance reads the cache events after a number.
    CacheEvents(usize, u64),
    /// An instance reads the status.
    Status(usize),
}
