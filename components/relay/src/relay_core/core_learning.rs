//! What the core learns from streams: lengths, pace and the time that places are held.

use crate::{backend_health, engine_usage, length_guess, relay_core, stream_ask, stream_lease};

/// Time that a stream holds its place until streams have shown their own, in milliseconds.
const USUAL_HELD_MILLIS: f64 = 3_000.0;

/// Weight of a new stream in the averages.
const HELD_WEIGHT: f64 = 0.05;

impl relay_core::RelayCore {
    /// Takes in that a stream has generated `tokens` more.
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
            held: lease.ask.prompt_tokens + lease.generated,
            remaining: length_guess::remaining_tokens(
                lease.ask.guessed_tokens,
                lease.generated,
                lease.ask.output_tokens,
            ),
        };
        if let Some(engine) = self.book.get_mut(lease.decode) {
            engine.own_streams.insert(key, load);
        }
    }

    /// Learns from a stream that has ended well.
    pub(super) fn learn(&mut self, now: clock::Timestamp, lease: &stream_lease::StreamLease) {
        let average = self.average(&lease.ask);
        let held_millis = now.since(lease.granted_at).as_secs_f64() * 1_000.0;
        average.held_millis += (held_millis - average.held_millis) * HELD_WEIGHT;
        let prompt_tokens = f64::from(lease.ask.prompt_tokens);
        average.prompt_tokens += (prompt_tokens - average.prompt_tokens) * HELD_WEIGHT;
        let mean_tokens = f64::from(lease.ask.mean_tokens());
        average.mean_tokens += (mean_tokens - average.mean_tokens) * HELD_WEIGHT;
        if lease.ask.resumes || lease.generated == 0 {
            return;
        }
        average.lengths.learn(lease.generated);
        let Some(first) = lease.first_token_at else {
            return;
        };
        let millis = now.since(first).as_secs_f64() * 1_000.0;
        if millis > 1.0 {
            let pace = f64::from(lease.generated) / millis;
            self.pace += (pace - self.pace) * HELD_WEIGHT;
        }
    }

    /// Returns the time that a stream of a service holds its place, in milliseconds.
    pub(super) fn held_millis(&self, service: &ids::ServiceName) -> f64 {
        self.averages
            .get(service)
            .map_or(USUAL_HELD_MILLIS, |average| average.held_millis)
    }

    /// Returns the tokens that an answer is expected to have.
    pub(super) fn guess(&mut self, ask: &stream_ask::StreamRequest) -> u32 {
        let lengths = self.average(ask).lengths;
        lengths.expected(ask.expected_tokens, ask.output_tokens)
    }

    fn average(&mut self, ask: &stream_ask::StreamRequest) -> &mut relay_core::StreamAverage {
        self.averages
            .entry(ask.service.clone())
            .or_insert_with(|| relay_core::StreamAverage {
                held_millis: USUAL_HELD_MILLIS,
                prompt_tokens: f64::from(ask.prompt_tokens),
                mean_tokens: f64::from(ask.prompt_tokens + ask.output_tokens / 4),
                lengths: length_guess::LengthGuess::new(ask.output_tokens),
            })
    }
}
