//! Events of the decision log.

mod event_constructors;
mod limit_event;

pub(crate) use event_constructors::hash_text;
pub use limit_event::LimitEvent;

/// One event of the decision log.
///
/// Times are in milliseconds. Ages are those of the data on which a decision was based.
#[derive(Debug, serde::Serialize, strum::IntoStaticStr)]
#[serde(tag = "event", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum DecisionEvent<'a> {
    /// The process started.
    Started {
        /// Version of the program.
        program: &'a str,
        /// Data centre of the instance.
        data_centre: &'a str,
        /// Start of the process in milliseconds since the Unix epoch.
        incarnation: u64,
    },
    /// Connections were ended or not taken, or bodies not read to their end; logged at most once a
    /// second.
    IntakeFull {
        /// Open connections.
        connections: usize,
        /// Bytes that connections and requests hold.
        held_bytes: usize,
        /// Connections that were ended since the last line.
        ended: u64,
        /// Connections that had no place since the last line.
        refused_connections: u64,
        /// Bodies that weren't read to their end since the last line.
        refused_bodies: u64,
    },
    /// The process received a shutdown signal and drains.
    Draining {
        /// Open connections of callers.
        connections: usize,
    },
    /// The process exits.
    Stopped {
        /// Connections of callers that were still open and are closed by the exit.
        connections: usize,
        /// Time since the shutdown signal.
        took_ms: u64,
        /// Requests that came too late to end in time, and were refused as not run.
        refused: u64,
        /// Requests that were open at the end and had not run.
        not_run: u64,
        /// Requests that were open at the end and may have run.
        unknown: u64,
        /// Streams that were open at the end.
        broken_off: u64,
        /// Latest arrival of a request that was open at the end, since the shutdown signal.
        latest_ms: u64,
    },
    /// The settings file was read again.
    Reloaded {
        /// Whether the new settings are valid and in use.
        accepted: bool,
        /// Number of seed instances in the settings in use.
        seeds: usize,
        /// Error of settings that were rejected.
        error: Option<String>,
    },
    /// The instance's view of the platform changed.
    ViewChanged {
        /// Source of the change: `store`, the view of another `instance`, or `news` (a state update
        /// of another instance).
        source: &'a str,
        /// Era of the platform's store, which increases when the store is restored from a copy.
        era: u64,
        /// Revision of the platform's store within the era.
        revision: u64,
        /// Version of the configuration in force.
        config_version: u64,
        /// Number of listed backend servers and engines.
        servers: usize,
        /// Number of those that are draining.
        leaving: usize,
    },
    /// A server of the list changed.
    ListChanged {
        /// Source of the change, as in [`Self::ViewChanged`].
        source: &'a str,
        /// Name of the server.
        server: &'a str,
        /// Change: `listed`, `draining`, `kept` (the entry has expired, but is used for a while), or
        /// `removed`.
        change: &'a str,
        /// Revision of the view after the change.
        revision: u64,
        /// Age of the view of the platform.
        view_age_ms: Option<u64>,
    },
    /// The transfer of another instance's view ended.
    ViewTransferred {
        /// Address of the instance that sent the view.
        from: std::net::IpAddr,
        /// Outcome: `copied` or `failed`.
        outcome: &'a str,
        /// Bytes of the body that were received.
        received_bytes: usize,
        /// Time until the first byte of the body.
        first_byte_ms: Option<u64>,
        /// Duration of the transfer.
        took_ms: u64,
    },
    /// An entry of the platform's store is invalid and was skipped.
    EntrySkipped {
        /// Key of the entry.
        key: &'a str,
        /// Revision at which the entry was written.
        revision: u64,
        /// Error of decoding the entry.
        error: &'a str,
    },
    /// A dependency of the instance stopped answering.
    DependencyLost {
        /// Dependency: `store` or `instance`.
        name: &'a str,
        /// Error of the last exchange.
        error: &'a str,
        /// Age of the view that remains in use.
        view_age_ms: Option<u64>,
    },
    /// A dependency of the instance answers again.
    DependencyRegained {
        /// Dependency: `store`.
        name: &'a str,
        /// Time for which it did not answer.
        lost_ms: u64,
    },
    /// The number of live instances or the rank of this instance changed.
    InstancesChanged {
        /// Number of live instances, this one included.
        alive: usize,
        /// Rank of this instance; the first one reads the platform's store for all.
        rank: usize,
    },
    /// The instance begins or ends to forward the state updates of others.
    ForwardingChanged {
        /// Whether it forwards from now on.
        forwards: bool,
        /// Instances of the data centre that receive its datagrams.
        members: usize,
        /// Forwarders of other data centres that receive its datagrams.
        forwarders: usize,
        /// Bytes that it has forwarded to all receivers since it began, 0 at the beginning.
        sent_bytes: u64,
        /// Time for which it has forwarded in milliseconds, 0 at the beginning.
        lasted_ms: u64,
    },
    /// A background task ended unexpectedly and is started again.
    TaskEnded {
        /// Name of the task.
        task: &'a str,
        /// Why it ended; `None` if it returned.
        error: Option<String>,
    },
    /// The readiness of the instance changed.
    ReadinessChanged {
        /// Whether the platform may route callers to the instance.
        ready: bool,
    },
    /// A backend server was ejected and temporarily receives no requests.
    ServerEjected {
        /// Name of the server.
        server: &'a str,
        /// Request whose outcome caused the ejection.
        id: &'a str,
        /// Outcome of that request.
        outcome: &'a str,
    },
    /// A server reported in an answer that it is draining; it receives no new work from now on.
    ServerDraining {
        /// Name of the server.
        server: &'a str,
        /// Id of the answered request.
        id: &'a str,
    },
    /// A server that refused a request asked this instance to send nothing for a while.
    ServerBackoff {
        /// Name of the server.
        server: &'a str,
        /// Id of the refused request.
        id: &'a str,
        /// Time as the server stated it.
        value: &'a str,
        /// Time for which nothing is sent; none if the server's value is invalid.
        wait_ms: Option<u64>,
    },
    /// A server named another limit on the rate of its requests than before, or none.
    ServerRateLimit {
        /// Name of the server.
        server: &'a str,
        /// Id of the answered request.
        id: &'a str,
        /// Limit as the server stated it; none if it named none.
        value: Option<&'a str>,
        /// Requests per second from all instances; none without a limit and for an invalid value,
        /// which changes nothing.
        limit_per_s: Option<f64>,
    },
    /// An engine was ordered to change its stage.
    Ordered {
        /// Name of the engine.
        server: &'a str,
        /// New stage of the engine.
        stage: &'a str,
        /// Fencing token of the order.
        fence: u64,
        /// Number of prefill engines before the order.
        prefill_engines: u32,
        /// Number of decode engines before the order.
        decode_engines: u32,
        /// Prefill engine time per request.
        prefill_cost_ms: f64,
        /// Decode engine time per request.
        decode_cost_ms: f64,
        /// Answer of the engine, or the error.
        outcome: &'a str,
    },
    /// A call was sent to a server.
    CallSent {
        /// Id of the request.
        id: &'a str,
        /// Name of the route.
        route: &'a str,
        /// Version of the configuration that was used.
        config_version: u64,
        /// Name of the server.
        server: &'a str,
        /// Number of the attempt, starting at 1.
        attempt: u32,
        /// Known requests in flight at the server.
        running: u32,
        /// Share of the server's recent requests that failed.
        failure_share: f64,
        /// Requests per second that the server accepts from all instances, if it names a limit.
        limit_per_s: Option<f64>,
        /// Age of the view of the platform.
        view_age_ms: Option<u64>,
    },
    /// The software version was looked up of a stream that a request takes up.
    StreamTakenUp {
        /// Id of the request.
        id: &'a str,
        /// Id of the attempt that began the stream.
        begun_by: Option<&'a str>,
        /// What decided: `known` (an instance has told), `remembered` (the memory of the engines),
        /// `only` (no other version), `unknown` (a late update may have told) or `unprovable` (nothing
        /// can tell); the last two refuse the request.
        basis: &'a str,
        /// Time for which all software versions of the list are known.
        versions_known_ms: u64,
        /// Duration of the lookup.
        took_ms: u64,
    },
    /// The engines of a service were asked about streams that no instance knows.
    StreamsSearched {
        /// Engines that were asked.
        asked: usize,
        /// Engines that have answered.
        answered: usize,
        /// Streams that an engine still runs.
        runs: usize,
        /// Parts of prompts that prove the software version at which their streams began.
        parts: usize,
        /// Those whose engines are sent no prompts which another version was sent first.
        sent_first: usize,
        /// Parts of prompts that prove nothing; the next fields tell why.
        ambiguous: usize,
        /// Parts that engines of several versions hold.
        several_versions: usize,
        /// Parts that no decode engine holds.
        no_decode_engine: usize,
        /// Parts of which an engine of another version has told nothing.
        others_silent: usize,
        /// Parts for which the store's changes don't reach back far enough.
        history_short: usize,
        /// Parts that an engine of another version may have held that has left.
        others_left: usize,
        /// Time for which the platform's store keeps all changes of the list; 0 if it doesn't.
        history_ms: u64,
        /// Duration of the search.
        took_ms: u64,
    },
    /// A generation was placed on engines.
    Placed {
        /// Id of the request.
        id: &'a str,
        /// Name of the route.
        route: &'a str,
        /// Version of the configuration that was used.
        config_version: u64,
        /// Prefill engine; none when the decode engine runs the prefill itself.
        prefill: Option<&'a str>,
        /// Decode engine.
        decode: &'a str,
        /// Version of the prefill engine's software.
        prefill_software: Option<&'a str>,
        /// Version of the decode engine's software.
        decode_software: &'a str,
        /// Id of the attempt that began the stream, if the request takes one up.
        begun_by: Option<&'a str>,
        /// Number of prompt tokens.
        prompt_tokens: u32,
        /// Maximum number of output tokens.
        output_tokens: u32,
        /// Number of output tokens that the caller expects.
        expected_tokens: Option<u32>,
        /// Memory utilization of the decode engine before the placement, as a share.
        fill: f64,
        /// Expected time until the prefill completes.
        prefill_ms: u64,
        /// Time that the request spent in the wait queue.
        waited_ms: u64,
        /// Number of the attempt, starting at 1.
        attempt: u32,
        /// Age of the view of the platform.
        view_age_ms: Option<u64>,
    },
    /// A generation was moved to another decode engine before the request was sent.
    Moved {
        /// Id of the request.
        id: &'a str,
        /// Decode engine of the original placement.
        from: &'a str,
        /// Expected memory utilization of that engine, this generation included.
        from_fill: f64,
        /// New decode engine.
        to: &'a str,
        /// Memory utilization of that engine before the move.
        to_fill: f64,
    },
    /// The prefill of a generation completed.
    PromptRead {
        /// Id of the request.
        id: &'a str,
        /// Prefill engine.
        prefill: &'a str,
        /// Duration of the prefill.
        took_ms: u64,
    },
    /// An attempt failed.
    AttemptFailed {
        /// Id of the request.
        id: &'a str,
        /// Hash of the request, the same for its repetitions by the same caller.
        request: String,
        /// Step that failed: `call`, `prefill`, `decode` or `generate`.
        stage: &'a str,
        /// Name of the server or engine.
        server: &'a str,
        /// Outcome at that server.
        outcome: &'a str,
        /// Error message.
        error: &'a str,
        /// Whether the failure proves that the request was not run.
        not_run: bool,
        /// What showed that the server didn't run the request: `unsent` (no byte was sent), `named`
        /// (a refusal with the id of the request) or `unnamed` (a refusal without an id).
        proof: Option<&'a str>,
        /// Number of answers that arrived on the connection before the server's answer, if it
        /// answered.
        earlier_answers: Option<u32>,
        /// Time for which the connection had been open.
        connection_age_ms: Option<u64>,
        /// Time since the attempt began; for `generate`, since the last event.
        took_ms: u64,
        /// Next step: a kind of retry, or the reason for giving up.
        next: &'a str,
    },
    /// An engine broke off before the first event of an answer, which makes the segments of the
    /// prompt suspects.
    CrashReported {
        /// Id of the request.
        id: &'a str,
        /// Name of the engine.
        server: &'a str,
        /// Hashes of the prompt's segments, without the last one.
        segments: Vec<String>,
    },
    /// A server that broke off soon after it had been sent a request refuses connections, which makes
    /// the request a suspect.
    ServerEnded {
        /// Name of the server or engine.
        server: &'a str,
        /// Hash of the request, as in the line of its failed attempt.
        request: String,
    },
    /// The quarantine of requests that crash servers changed.
    QuarantineChanged {
        /// Hashes of all quarantined requests and segments.
        segments: Vec<String>,
        /// Longest remaining time.
        remaining_ms: u64,
    },
    /// The instance lost most servers of a service while others may reach them, or reaches them again.
    ReachChanged {
        /// Whether a service is out of reach.
        lost: bool,
    },
    /// A request is beyond the limit of its workspace.
    LimitExceeded(limit_event::LimitEvent<'a>),
    /// A request was sent to another instance, which serves it.
    Proxied {
        /// Id of the request.
        id: &'a str,
        /// Name of the route.
        route: &'a str,
        /// Address of the other instance.
        proxy: std::net::Ipv4Addr,
    },
    /// Another instance didn't take a request.
    ProxyDeclined {
        /// Id of the request.
        id: &'a str,
        /// Address of the other instance.
        proxy: std::net::Ipv4Addr,
        /// Why it didn't take the request.
        error: &'a str,
    },
    /// The key of a request didn't admit it.
    KeyRefused {
        /// Id of the request.
        id: &'a str,
        /// Name of the route.
        route: &'a str,
        /// What the request presents: `absent`, `malformed`, or `present`.
        key: &'a str,
        /// Reason: `unknown_key`, or `keys_not_known`.
        reason: &'a str,
        /// Version of the configuration that was used.
        config_version: u64,
        /// Time for which a newer configuration has been known.
        outdated_ms: Option<u64>,
        /// Age of the view of the platform.
        view_age_ms: Option<u64>,
    },
    /// A generation was refused for lack of capacity, while its workspace had this share of it.
    ShareRefused {
        /// Id of the request.
        id: &'a str,
        /// Name of the workspace.
        workspace: &'a str,
        /// Reason of the refusal.
        reason: &'a str,
        /// Part of what all workspaces were given lately, between 0 and 1.
        share: f64,
        /// Part that the workspace is owed while all active ones want more, between 0 and 1.
        fair_share: f64,
    },
    /// A request was answered, or its caller disconnected.
    Ended {
        /// Id of the request.
        id: &'a str,
        /// Name of the route, if one matched.
        route: Option<&'a str>,
        /// Name of the workspace, if the request has one.
        #[serde(skip_serializing_if = "Option::is_none")]
        workspace: Option<&'a str>,
        /// Outcome: `relayed`, `broken_off`, `caller_left`, or an answer of this instance.
        outcome: &'a str,
        /// Reason of a refusal.
        reason: Option<&'a str>,
        /// HTTP status that the caller received.
        status: Option<u16>,
        /// Server or engine of the last attempt.
        server: Option<&'a str>,
        /// Number of attempts.
        attempts: u32,
        /// Time since the request arrived.
        took_ms: u64,
        /// Time until the first event of a stream.
        first_event_ms: Option<u64>,
        /// Longest pause between events of a stream.
        longest_pause_ms: Option<u64>,
        /// Number of events of a stream.
        events: Option<u64>,
        /// Retry delay that the caller received.
        retry_after_ms: Option<u64>,
    },
}

impl DecisionEvent<'_> {
    /// Returns whether the line is dropped first when the log output is too slow.
    #[must_use]
    pub fn is_low_priority(&self) -> bool {
        matches!(
            self,
            Self::CallSent { .. }
                | Self::Placed { .. }
                | Self::PromptRead { .. }
                | Self::Proxied { .. }
                | Self::KeyRefused { .. }
                | Self::Ended {
                    outcome: "relayed" | "caller_left",
                    ..
                }
                | Self::Ended {
                    reason: Some("no_room" | "body_timeout"),
                    ..
                }
        )
    }
}
