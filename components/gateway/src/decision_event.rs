//! What the decision log tells.

/// One line of the decision log.
///
/// Times are in milliseconds; ages tell how old an input of the decision was.
#[derive(Debug, serde::Serialize, strum::IntoStaticStr)]
#[serde(tag = "event", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum DecisionEvent<'a> {
    /// The process started.
    Started {
        /// Version of the program.
        program: &'a str,
        /// Data centre in which the instance stands.
        data_centre: &'a str,
        /// Start of the process in milliseconds since the Unix epoch.
        incarnation: u64,
    },
    /// The process was told to shut down.
    Draining {
        /// Connections of callers that are open.
        connections: usize,
    },
    /// The process ends.
    Stopped {
        /// Connections of callers that were cut off.
        connections: usize,
        /// Time since it was told to shut down.
        took_ms: u64,
    },
    /// The settings were read again.
    Reloaded {
        /// Whether they are valid and in use.
        accepted: bool,
        /// Instances that may be known to others.
        seeds: usize,
        /// What is wrong with them.
        error: Option<String>,
    },
    /// What the instance knows of the platform changed.
    ViewChanged {
        /// Where the change came from: `store` or `instance`.
        source: &'a str,
        /// Revision of the platform's store.
        revision: u64,
        /// Version of the configuration in force.
        config_version: u64,
        /// Backend servers and engines listed.
        servers: usize,
        /// Those among them that are leaving.
        leaving: usize,
    },
    /// An entry of the platform wasn't taken over.
    EntrySkipped {
        /// Its key.
        key: &'a str,
        /// Revision at which it was written.
        revision: u64,
        /// What is wrong with it.
        error: &'a str,
    },
    /// Something outside no longer answers.
    DependencyLost {
        /// What.
        name: &'a str,
        /// What failed.
        error: &'a str,
        /// Age of the view that stays in use.
        view_age_ms: Option<u64>,
    },
    /// Something outside answers again.
    DependencyRegained {
        /// What.
        name: &'a str,
        /// Time without it.
        lost_ms: u64,
    },
    /// The instances that are known to live changed.
    InstancesChanged {
        /// Those that live, this one included.
        alive: usize,
        /// Rank of this one; the first one reads the platform's store for all.
        rank: usize,
    },
    /// Callers may be sent here, or no longer.
    ReadinessChanged {
        /// Whether they may.
        ready: bool,
    },
    /// A backend server receives no requests for a while.
    ServerEjected {
        /// Its name.
        server: &'a str,
        /// Request that decided it.
        id: &'a str,
        /// What became of that request.
        outcome: &'a str,
    },
    /// An engine was ordered to take another stage.
    Ordered {
        /// Engine.
        server: &'a str,
        /// Stage that it is to take.
        stage: &'a str,
        /// Fencing number.
        fence: u64,
        /// Engines that read prompts before.
        prefill_engines: u32,
        /// Engines that generated before.
        decode_engines: u32,
        /// Engine time that a request takes at prefill.
        prefill_cost_ms: f64,
        /// Engine time that a request takes at decode.
        decode_cost_ms: f64,
        /// What the engine answered.
        outcome: &'a str,
    },
    /// A call was sent to a server.
    CallSent {
        /// Name of the request.
        id: &'a str,
        /// Route.
        route: &'a str,
        /// Version of the configuration.
        config_version: u64,
        /// Server.
        server: &'a str,
        /// Which attempt it is, from 1.
        attempt: u32,
        /// Requests under way there, as far as known.
        running: u32,
        /// Share of its recent requests that failed.
        failure_share: f64,
        /// Age of the view.
        view_age_ms: Option<u64>,
    },
    /// A generation was given engines.
    Placed {
        /// Name of the request.
        id: &'a str,
        /// Route.
        route: &'a str,
        /// Version of the configuration.
        config_version: u64,
        /// Engine that reads the prompt.
        prefill: Option<&'a str>,
        /// Engine that generates.
        decode: &'a str,
        /// Prompt tokens.
        prompt_tokens: u32,
        /// Tokens that the answer may have.
        output_tokens: u32,
        /// Tokens that the caller expects.
        expected_tokens: Option<u32>,
        /// Share of the decode engine's memory in use before.
        fill: f64,
        /// Expected time until the prompt is read.
        prefill_ms: u64,
        /// Time that the request waited for a place.
        waited_ms: u64,
        /// Which attempt it is, from 1.
        attempt: u32,
        /// Age of the view.
        view_age_ms: Option<u64>,
    },
    /// A generation was moved to another decode engine before it was sent there.
    Moved {
        /// Name of the request.
        id: &'a str,
        /// Decode engine that it leaves.
        from: &'a str,
        /// Share of that engine's memory that is expected to be taken, with this generation.
        from_fill: f64,
        /// Decode engine that it goes to.
        to: &'a str,
        /// Share of that engine's memory in use before.
        to_fill: f64,
    },
    /// The prompt was read.
    PromptRead {
        /// Name of the request.
        id: &'a str,
        /// Engine that read it.
        prefill: &'a str,
        /// Time it took.
        took_ms: u64,
    },
    /// An attempt failed.
    AttemptFailed {
        /// Name of the request.
        id: &'a str,
        /// Where it failed: `call`, `prefill`, `decode` or `stream`.
        stage: &'a str,
        /// Server.
        server: &'a str,
        /// What became of it.
        outcome: &'a str,
        /// What failed.
        error: &'a str,
        /// Whether it is proved that it was not run.
        not_run: bool,
        /// Time since the attempt began.
        took_ms: u64,
        /// What follows: `retry`, `resume`, or why nothing does.
        next: &'a str,
    },
    /// A request was answered, or its caller left.
    Ended {
        /// Name of the request.
        id: &'a str,
        /// Route, when one fits.
        route: Option<&'a str>,
        /// Outcome: `relayed`, `broken_off`, `caller_left`, or an answer of this instance.
        outcome: &'a str,
        /// Why, for refusals.
        reason: Option<&'a str>,
        /// Status that the caller received.
        status: Option<u16>,
        /// Server or engine of the last attempt.
        server: Option<&'a str>,
        /// Attempts made.
        attempts: u32,
        /// Time since the request arrived.
        took_ms: u64,
        /// Time until the first event of a stream.
        first_event_ms: Option<u64>,
        /// Longest pause between events of a stream.
        longest_pause_ms: Option<u64>,
        /// Events of a stream.
        events: Option<u64>,
        /// Time after which the caller may come back.
        retry_after_ms: Option<u64>,
    },
}

impl DecisionEvent<'_> {
    /// Returns whether the line may be dropped before others.
    #[must_use]
    pub fn is_low_priority(&self) -> bool {
        matches!(
            self,
            Self::CallSent { .. }
                | Self::Placed { .. }
                | Self::PromptRead { .. }
                | Self::Ended {
                    outcome: "relayed" | "caller_left",
                    ..
                }
        )
    }
}

impl<'a> DecisionEvent<'a> {
    /// Tells of a view that was taken over from `source`.
    pub(crate) fn view_changed(source: &'a str, view: &relay::SiteView) -> Self {
        Self::ViewChanged {
            source,
            revision: view.revision,
            config_version: view.config_version(),
            servers: view.backends.len(),
            leaving: view.backends.values().filter(|entry| entry.leaving).count(),
        }
    }
}
