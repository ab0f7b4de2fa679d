//! Estimates from completed streams: output length, decode rate and slot time.

use crate::{
    backend_health, engine_usage, length_estimator, relay_core, stream_lease, stream_request,
};

/// Slot time of a stream until the first measurement, in milliseconds.
const DEFAULT_SLOT_MILLIS: f64 = 3_000.0;

/// Weight of a new stream in the moving averages.
const AVERAGE_SMOOTHING: f64 = 0.05;

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
        }
    }

    /// Updates the averages with a successfully completed stream.
    pub(super) fn update_averages(
        &mut self,
        now: clock::Timestamp,
        lease: &stream_lease::StreamLease,
    ) {
        let average = self.average(&lease.request);
        let slot_millis = now.since(lease.reserved_at).as_secs_f64() * 1_000.0;
        average.slot_millis += (slot_millis - average.slot_millis) * AVERAGE_SMOOTHING;
        let prompt_tokens = f64::from(lease.request.prompt_tokens);
        average.prompt_tokens += (prompt_tokens - average.prompt_tokens) * AVERAGE_SMOOTHING;
        let mean_tokens = f64::from(lease.request.mean_tokens());
        average.mean_tokens += (mean_tokens - average.mean_tokens) * AVERAGE_SMOOTHING;
        if lease.request.resumes || lease.generated == 0 {
            return;
        }
        average.lengths.observe(lease.generated);
        let Some(first_token_at) = lease.first_token_at else {
            return;
        };
        let millis = now.since(first_token_at).as_secs_f64() * 1_000.0;
        if millis > 1.0 {
            let decode_rate = f64::from(lease.generated) / millis;
            self.decode_rate += (decode_rate - self.decode_rate) * AVERAGE_SMOOTHING;
        }
    }

    /// Returns the average slot time of a service's streams, in milliseconds.
    pub(super) fn slot_millis(&self, service: &ids::ServiceName) -> f64 {
        self.averages
            .get(service)
            .map_or(DEFAULT_SLOT_MILLIS, |average| average.slot_millis)
    }

    /// Returns the estimated output length of a request, in tokens.
    pub(super) fn estimate_output(&mut self, request: &stream_request::StreamRequest) -> u32 {
        let lengths = self.average(request).lengths;
        lengths.expected(request.expected_tokens, request.output_tokens)
    }

    fn average(
        &mut self,
        request: &stream_request::StreamRequest,
    ) -> &mut relay_core::StreamAverage {
        self.averages
            .entry(request.service.clone())
            .or_insert_with(|| relay_core::StreamAverage {
                slot_millis: DEFAULT_SLOT_MILLIS,
                prompt_tokens: f64::from(request.prompt_tokens),
                // Equals `StreamRequest::mean_tokens` for an estimated output of half the limit.
                mean_tokens: f64::from(request.prompt_tokens + request.output_tokens / 4),
                lengths: length_estimator::LengthEstimator::new(request.output_tokens),
            })
    }
}
