//! Estimates from measured streams, by this instance and by the others.

use std::time;

use crate::{
    backend_entry, backend_health, engine_usage, instance_update, length_estimator, relay_core,
    service_estimate, stream_lease, stream_request,
};

/// Interval at which the estimates of all instances are combined.
const COMBINE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Share of the mean deviation of the first event from its expected time by which a placement has
/// to be earlier to count as on time.
const TIMELY_DEVIATIONS: f64 = 1.0;

impl relay_core::RelayCore {
    /// Records that a stream has generated `tokens` further tokens.
    pub fn record_progress(
        &mut self,
        now: clock::Timestamp,
        key: stream_lease::StreamKey,
        tokens: u32,
    ) {
        self.record_prefill_outcome(now, key, backend_health::BackendOutcome::Succeeded);
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        lease.generated += tokens;
        let is_first = lease.first_token_at.is_none();
        lease.first_token_at.get_or_insert(now);
        let load = engine_usage::StreamLoad {
            held: lease.request.prompt_tokens + lease.generated,
            remaining: length_estimator::remaining_tokens(
                lease.request.estimated_tokens,
                lease.generated,
                lease.request.output_tokens,
            ),
        };
        if let Some(engine) = self.backends.get_mut(lease.decode) {
            engine.own_streams.insert(key, load);
            if is_first {
                engine.reach.record_answer(now);
            }
        }
        if is_first {
            self.observe_first_event(now, key);
        }
    }

    fn observe_first_event(&mut self, now: clock::Timestamp, key: stream_lease::StreamKey) {
        let Some(lease) = self.leases.get(key) else {
            return;
        };
        let Some(prefilled_at) = lease.prefilled_at.filter(|_| lease.prefill.is_some()) else {
            return;
        };
        let deviation =
            now.since(lease.first_event_expected_at) + lease.first_event_expected_at.since(now);
        let request = lease.request.clone();
        self.own_estimate(&request)
            .observe_first_event(now.since(prefilled_at), deviation);
    }

    /// Updates the estimates with the measured duration of a prefill.
    pub(super) fn observe_prefill(
        &mut self,
        request: &stream_request::StreamRequest,
        duration: time::Duration,
    ) {
        self.own_estimate(request).prefill.observe(
            f64::from(request.prompt_tokens),
            duration.as_secs_f64() * 1_000.0,
        );
    }

    /// Updates the estimates with a successfully completed stream.
    pub(super) fn observe_stream(
        &mut self,
        now: clock::Timestamp,
        lease: &stream_lease::StreamLease,
    ) {
        let is_whole = !lease.request.resumes && lease.generated > 0;
        let output = lease
            .first_token_at
            .filter(|_| is_whole)
            .map(|first_token_at| (lease.generated, now.since(first_token_at)));
        let sample = service_estimate::StreamSample {
            slot_time: now.since(lease.reserved_at),
            mean_tokens: lease.request.mean_tokens(),
            expected_tokens: lease.request.expected_tokens,
            output,
        };
        self.own_estimate(&lease.request).observe_stream(&sample);
    }

    /// Returns the estimate of a service; `None` before the first request.
    pub(super) fn estimate(
        &self,
        service: &ids::ServiceName,
    ) -> Option<&service_estimate::ServiceEstimate> {
        self.combined_estimates.get(service)
    }

    /// Updates the estimates with a request and returns its estimated output length in tokens.
    pub(super) fn estimate_output(
        &mut self,
        now: clock::Timestamp,
        request: &stream_request::StreamRequest,
    ) -> u32 {
        self.own_estimate(request).observe_request(request);
        if !self.combined_estimates.contains_key(&request.service) {
            self.combine_estimates(now);
        }
        self.estimate(&request.service).map_or(0, |estimate| {
            let lengths = estimate.lengths;
            lengths.expected(request.expected_tokens, request.output_tokens)
        })
    }

    /// Returns the largest relative standard deviation of output lengths among the services.
    pub(super) fn length_deviation(&self) -> f64 {
        let estimates = self.combined_estimates.values();
        estimates
            .map(|estimate| estimate.lengths.relative_deviation())
            .reduce(f64::max)
            .unwrap_or(0.0)
    }

    /// Returns the rate of a stream in tokens per millisecond, for the progress of the streams of
    /// other instances between their state updates.
    pub(super) fn decode_rate(&self) -> f64 {
        let rates = self.combined_estimates.values();
        rates
            .map(|estimate| estimate.decode_rate)
            .reduce(f64::max)
            .unwrap_or(service_estimate::DEFAULT_DECODE_RATE)
    }

    /// Returns the expected time from the placement to the first event.
    #[must_use]
    pub fn time_to_first_event(
        &self,
        now: clock::Timestamp,
        request: &stream_request::StreamRequest,
    ) -> time::Duration {
        let prefill_time = self
            .backends
            .table()
            .values()
            .filter(|engine| engine.entry.service == request.service && engine.accepts_work(now))
            .filter(|engine| engine.entry.stage == Some(backend_entry::EngineStage::Prefill))
            .map(|engine| engine.prefill_wait() + engine.prefill_duration(request.prompt_tokens))
            .min();
        prefill_time.unwrap_or_default() + self.handoff_time(&request.service)
    }

    /// Returns the latest time of a placement that leads to a first event on time.
    pub(super) fn timely_until(
        &self,
        now: clock::Timestamp,
        request: &stream_request::StreamRequest,
    ) -> clock::Timestamp {
        let deviation = self
            .estimate(&request.service)
            .map_or(0.0, |estimate| estimate.deviation_millis);
        let margin = clock::bounded_millis(deviation * TIMELY_DEVIATIONS);
        request
            .first_token_due
            .before(self.time_to_first_event(now, request) + margin)
    }

    /// Returns the expected time from the end of a prefill to the first event.
    pub(super) fn handoff_time(&self, service: &ids::ServiceName) -> time::Duration {
        let millis = self
            .estimate(service)
            .map_or(service_estimate::DEFAULT_HANDOFF_MILLIS, |estimate| {
                estimate.handoff_millis
            });
        clock::bounded_millis(millis)
    }

    /// Returns the estimates from the streams of this instance, for its state updates.
    pub(super) fn own_estimates(&self) -> Vec<(u64, service_estimate::ServiceEstimate)> {
        self.estimates
            .iter()
            .map(|(service, estimate)| (instance_update::service_hash(service), *estimate))
            .collect()
    }

    /// Combines the estimates of all instances if the last combination is outdated.
    pub(super) fn refresh_estimates(&mut self, now: clock::Timestamp) {
        let is_outdated = self
            .estimates_combined_at
            .is_none_or(|at| now.since(at) >= COMBINE_INTERVAL);
        if is_outdated {
            self.combine_estimates(now);
        }
    }

    fn combine_estimates(&mut self, now: clock::Timestamp) {
        self.estimates_combined_at = Some(now);
        let Some(config) = self.config() else {
            return;
        };
        for service in config.services.keys() {
            let own = self.estimates.get(service);
            let others = self.instances.estimates(now, service);
            let combined =
                service_estimate::ServiceEstimate::combine(own.into_iter().chain(others));
            let Some(combined) = combined else { continue };
            self.backends
                .set_prefill_model(service, combined.prefill_model());
            self.combined_estimates.insert(service.clone(), combined);
        }
    }

    fn own_estimate(
        &mut self,
        request: &stream_request::StreamRequest,
    ) -> &mut service_estimate::ServiceEstimate {
        self.estimates
            .entry(request.service.clone())
            .or_insert_with(|| service_estimate::ServiceEstimate::new(request))
    }
}
