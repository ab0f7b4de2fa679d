//! Encodes the estimates of a service in state updates.

/// Averages over the streams of one service.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct EstimateMessage {
    /// Hash of the service's name.
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(uint32, tag = "2")]
    streams: u32,
    /// Sums of the fit of the prefill durations in milliseconds to the numbers of tokens.
    #[prost(float, tag = "3")]
    prefill_weight: f32,
    #[prost(float, tag = "4")]
    prefill_input: f32,
    #[prost(float, tag = "5")]
    prefill_value: f32,
    #[prost(double, tag = "6")]
    prefill_squared_input: f64,
    #[prost(double, tag = "7")]
    prefill_product: f64,
    #[prost(float, tag = "8")]
    handoff_ms: f32,
    #[prost(float, tag = "9")]
    deviation_ms: f32,
    /// Tokens per millisecond.
    #[prost(float, tag = "10")]
    decode_rate: f32,
    #[prost(float, tag = "11")]
    slot_ms: f32,
    #[prost(float, tag = "12")]
    prompt_tokens: f32,
    #[prost(float, tag = "13")]
    mean_tokens: f32,
    /// Mean of the logarithm of the output length, and variances of that and of hints.
    #[prost(float, tag = "14")]
    log_mean: f32,
    #[prost(float, tag = "15")]
    log_variance: f32,
    #[prost(float, tag = "16")]
    hint_variance: f32,
    #[prost(uint32, tag = "17")]
    requests: u32,
}

/// Encodes the estimate of a service, which is identified by the hash of its name.
pub(crate) fn encode((service, estimate): &(u64, relay::ServiceEstimate)) -> EstimateMessage {
    EstimateMessage {
        service: *service,
        requests: estimate.requests,
        streams: estimate.streams,
        prefill_weight: estimate.prefill.weight as f32,
        prefill_input: estimate.prefill.input as f32,
        prefill_value: estimate.prefill.value as f32,
        prefill_squared_input: estimate.prefill.squared_input,
        prefill_product: estimate.prefill.product,
        handoff_ms: estimate.handoff_millis as f32,
        deviation_ms: estimate.deviation_millis as f32,
        decode_rate: estimate.decode_rate as f32,
        slot_ms: estimate.slot_millis as f32,
        prompt_tokens: estimate.prompt_tokens as f32,
        mean_tokens: estimate.mean_tokens as f32,
        log_mean: estimate.lengths.log_mean as f32,
        log_variance: estimate.lengths.log_variance as f32,
        hint_variance: estimate.lengths.hint_variance as f32,
    }
}

/// Decodes the estimate of a service.
pub(crate) fn decode(message: &EstimateMessage) -> (u64, relay::ServiceEstimate) {
    let estimate = relay::ServiceEstimate {
        requests: message.requests,
        streams: message.streams,
        prefill: relay::LinearFit {
            weight: f64::from(message.prefill_weight),
            input: f64::from(message.prefill_input),
            value: f64::from(message.prefill_value),
            squared_input: message.prefill_squared_input,
            product: message.prefill_product,
        },
        handoff_millis: f64::from(message.handoff_ms),
        deviation_millis: f64::from(message.deviation_ms),
        decode_rate: f64::from(message.decode_rate),
        slot_millis: f64::from(message.slot_ms),
        prompt_tokens: f64::from(message.prompt_tokens),
        mean_tokens: f64::from(message.mean_tokens),
        lengths: relay::LengthEstimator {
            log_mean: f64::from(message.log_mean),
            log_variance: f64::from(message.log_variance),
            hint_variance: f64::from(message.hint_variance),
        },
    };
    (message.service, estimate)
}
