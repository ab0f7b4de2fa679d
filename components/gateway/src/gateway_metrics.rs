//! Metrics of relayed requests.

use std::{sync::atomic, time};

use prometheus_client::{
    encoding::text,
    metrics::{counter, family, gauge, histogram},
    registry,
};

use crate::{intake_metrics, run_evidence, workspace_metrics};

/// Labels of a finished request.
#[derive(Clone, Debug, Eq, Hash, PartialEq, prometheus_client::encoding::EncodeLabelSet)]
struct OutcomeLabels {
    kind: String,
    outcome: String,
}

/// The single label of a metric with one dimension.
#[derive(Clone, Debug, Eq, Hash, PartialEq, prometheus_client::encoding::EncodeLabelSet)]
struct NameLabel {
    name: String,
}

/// Labels of a workspace's share of a service.
#[derive(Clone, Debug, Eq, Hash, PartialEq, prometheus_client::encoding::EncodeLabelSet)]
struct ShareLabels {
    service: String,
    workspace: String,
}

type ShareFamily = family::Family<ShareLabels, gauge::Gauge<f64, atomic::AtomicU64>>;

type HistogramFamily =
    family::Family<NameLabel, histogram::Histogram, fn() -> histogram::Histogram>;

/// Metrics of relayed requests.
pub struct GatewayMetrics {
    registry: registry::Registry,
    requests: family::Family<OutcomeLabels, counter::Counter>,
    phases: HistogramFamily,
    refusals: family::Family<NameLabel, counter::Counter>,
    failed_attempts: family::Family<NameLabel, counter::Counter>,
    not_run_claims: family::Family<NameLabel, counter::Counter>,
    proxied: family::Family<NameLabel, counter::Counter>,
    store_reads: family::Family<NameLabel, counter::Counter>,
    copied_bytes: family::Family<NameLabel, counter::Counter>,
    quarantined: gauge::Gauge,
    limited_servers: gauge::Gauge,
    view_age: gauge::Gauge<f64, atomic::AtomicU64>,
    config_version: gauge::Gauge,
    store_era: gauge::Gauge,
    log_lines_dropped: gauge::Gauge,
    instances: gauge::Gauge,
    retries_left: family::Family<NameLabel, gauge::Gauge<f64, atomic::AtomicU64>>,
    orders: family::Family<NameLabel, counter::Counter>,
    pub(crate) workspaces: workspace_metrics::WorkspaceMetrics,
    intake: intake_metrics::IntakeMetrics,
    workspace_shares: ShareFamily,
    fair_shares: ShareFamily,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let mut registry = registry::Registry::with_prefix("plantainreach");
        let requests = family::Family::default();
        let phases: HistogramFamily = family::Family::new_with_constructor(phase_histogram);
        let refusals = family::Family::default();
        let failed_attempts = family::Family::default();
        let not_run_claims = family::Family::default();
        let proxied = family::Family::default();
        let store_reads = family::Family::default();
        let copied_bytes = family::Family::default();
        let quarantined = gauge::Gauge::default();
        let limited_servers = gauge::Gauge::default();
        let view_age = gauge::Gauge::default();
        let config_version = gauge::Gauge::default();
        let store_era = gauge::Gauge::default();
        let log_lines_dropped = gauge::Gauge::default();
        let instances = gauge::Gauge::default();
        let retries_left = family::Family::default();
        let orders = family::Family::default();
        let workspace_shares = family::Family::default();
        let fair_shares = family::Family::default();
        registry.register(
            "relay_requests",
            "Requests by kind and outcome",
            requests.clone(),
        );
        registry.register("relay_phase_seconds", "Time of each phase", phases.clone());
        registry.register("relay_refusals", "Refusals by reason", refusals.clone());
        registry.register(
            "relay_retries",
            "Attempts that failed, by stage",
            failed_attempts.clone(),
        );
        registry.register(
            "relay_not_run_claims",
            "Attempts that claim not to have run the request, by what shows it",
            not_run_claims.clone(),
        );
        registry.register(
            "relay_proxied_requests",
            "Requests passed to other instances (sent, declined), and served for them (served)",
            proxied.clone(),
        );
        registry.register(
            "relay_store_reads",
            "Reads of the platform by outcome",
            store_reads.clone(),
        );
        registry.register(
            "relay_view_copy_bytes",
            "Bytes received of other instances' views, by outcome",
            copied_bytes.clone(),
        );
        registry.register(
            "relay_quarantined_segments",
            "Requests and prompt segments in quarantine because they crash servers",
            quarantined.clone(),
        );
        registry.register(
            "relay_limited_servers",
            "Servers that name a limit on the rate of their requests",
            limited_servers.clone(),
        );
        registry.register(
            "relay_view_age_seconds",
            "Age of the view of the platform",
            view_age.clone(),
        );
        registry.register(
            "relay_config_version",
            "Version of the configuration in force",
            config_version.clone(),
        );
        registry.register(
            "relay_store_era",
            "Era of the platform's store in the view",
            store_era.clone(),
        );
        registry.register(
            "relay_log_lines_dropped",
            "Log lines dropped since the start",
            log_lines_dropped.clone(),
        );
        registry.register(
            "relay_instances",
            "Instances that live, this one included",
            instances.clone(),
        );
        registry.register(
            "relay_repeats_left",
            "Repeats that this instance may still send to a service now",
            retries_left.clone(),
        );
        registry.register(
            "relay_orders",
            "Orders to engines by outcome",
            orders.clone(),
        );
        let workspaces = workspace_metrics::WorkspaceMetrics::default();
        workspaces.register(&mut registry);
        let intake = intake_metrics::IntakeMetrics::default();
        intake.register(&mut registry);
        registry.register(
            "relay_workspace_share",
            "Part of the tokens placed lately, by service, of the 16 workspaces with the largest parts",
            workspace_shares.clone(),
        );
        registry.register(
            "relay_workspace_fair_share",
            "Part of the tokens that these workspaces are owed while all active ones want more",
            fair_shares.clone(),
        );
        Self {
            registry,
            requests,
            phases,
            refusals,
            failed_attempts,
            not_run_claims,
            proxied,
            store_reads,
            copied_bytes,
            quarantined,
            limited_servers,
            view_age,
            config_version,
            store_era,
            log_lines_dropped,
            instances,
            retries_left,
            orders,
            fair_shares,
            workspace_shares,
            workspaces,
            intake,
        }
    }
}

impl GatewayMetrics {
    /// Counts a finished request, of a workspace where it has one, and its total time.
    pub fn ended(
        &self,
        kind: &str,
        outcome: &str,
        workspace: Option<&ids::WorkspaceName>,
        took: time::Duration,
    ) {
        if let Some(workspace) = workspace {
            self.workspaces.ended(workspace, outcome);
        }
        self.requests
            .get_or_create(&OutcomeLabels {
                kind: kind.to_owned(),
                outcome: outcome.to_owned(),
            })
            .inc();
        self.phase("whole", took);
    }

    /// Records the duration of a phase: `queue`, `prefill`, `first_event`, `pause`, `whole` or
    /// `view_copy`.
    pub fn phase(&self, name: &str, took: time::Duration) {
        self.phases
            .get_or_create(&label(name))
            .observe(took.as_secs_f64());
    }

    /// Counts a refusal by its reason.
    pub fn refused(&self, reason: &str) {
        self.refusals.get_or_create(&label(reason)).inc();
    }

    /// Counts a failed attempt by the step that failed.
    pub fn attempt_failed(&self, step: &str) {
        self.failed_attempts.get_or_create(&label(step)).inc();
    }

    /// Counts an attempt that claims not to have run its request, by what shows it.
    pub fn claimed_not_run(&self, proof: Option<run_evidence::RefusalProof>) {
        if let Some(proof) = proof {
            self.not_run_claims
                .get_or_create(&label(proof.into()))
                .inc();
        }
    }

    /// Counts a request that passes between instances.
    pub fn proxied(&self, name: &str) {
        self.proxied.get_or_create(&label(name)).inc();
    }

    /// Counts a read of the platform's store by its outcome.
    pub fn store_read(&self, outcome: &str) {
        self.store_reads.get_or_create(&label(outcome)).inc();
    }

    /// Counts the bytes received of another instance's view, by the outcome of the copy, and records
    /// its duration.
    pub fn view_copied(&self, outcome: &str, bytes: usize, took: time::Duration) {
        self.copied_bytes
            .get_or_create(&label(outcome))
            .inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
        self.phase("view_copy", took);
    }

    /// Counts an order to an engine by its outcome.
    pub fn ordered(&self, outcome: &str) {
        self.orders.get_or_create(&label(outcome)).inc();
    }

    /// Updates the gauges from the state of the core.
    pub fn update_gauges(&self, core: &mut relay::RelayCore, now: clock::Timestamp) {
        let age = core.tracker().age(now);
        self.view_age
            .set(age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
        self.config_version
            .set(signed(core.tracker().view().config_version()));
        self.store_era
            .set(signed(core.tracker().view().position.era));
        let quarantined = core.quarantine().quarantined(now).len();
        self.quarantined
            .set(i64::try_from(quarantined).unwrap_or(i64::MAX));
        let limited = core.limits().limited_servers();
        self.limited_servers
            .set(i64::try_from(limited).unwrap_or(i64::MAX));
        let live = core.instances().live_count(now);
        self.instances.set(i64::try_from(live).unwrap_or(i64::MAX));
        self.workspaces.update_gauges(core, now);
        for (service, left) in core.retries_left(now) {
            self.retries_left
                .get_or_create(&label(service.as_str()))
                .set(left.max(0.0));
        }
        self.update_shares(core, now);
    }

    /// Updates the gauges of the workspaces with the largest shares; those of others end.
    fn update_shares(&self, core: &mut relay::RelayCore, now: clock::Timestamp) {
        self.workspace_shares.clear();
        self.fair_shares.clear();
        for (service, workspace, share) in core.workspace_shares(now) {
            let labels = ShareLabels {
                service: service.as_str().to_owned(),
                workspace: workspace.as_str().to_owned(),
            };
            self.workspace_shares.get_or_create(&labels).set(share.used);
            self.fair_shares.get_or_create(&labels).set(share.fair);
        }
    }

    /// Updates the metrics of what the instance takes in.
    pub fn update_intake(&self, intake: &intake::Intake) {
        self.intake.update(intake);
    }

    /// Sets the number of log lines that were dropped.
    pub fn set_log_lines_dropped(&self, lines: u64) {
        self.log_lines_dropped.set(signed(lines));
    }

    /// Returns the metrics in the OpenMetrics format.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric can't be formatted.
    pub fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut page = String::new();
        text::encode(&mut page, &self.registry)?;
        Ok(page)
    }
}

fn signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

fn label(name: &str) -> NameLabel {
    NameLabel {
        name: name.to_owned(),
    }
}

fn phase_histogram() -> histogram::Histogram {
    histogram::Histogram::new(histogram::exponential_buckets(0.002, 2.0, 14))
}
