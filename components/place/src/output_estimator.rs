//! Estimates of the output lengths of a request class.

/// Number of histogram buckets.
const BUCKET_COUNT: u16 = 64;

/// Weight of the class's expected output length, in observations.
const PRIOR_WEIGHT: f64 = 20.0;

/// Factor applied to the weight of earlier observations with each new one.
const DECAY_FACTOR: f64 = 0.998;

/// A histogram of the output lengths of a request class in which old observations decay.
#[derive(Clone, Debug)]
pub struct OutputEstimator {
    /// Width of one bucket, in tokens.
    bucket_tokens: f64,
    counts: Vec<f64>,
}

impl OutputEstimator {
    /// Creates an estimator from the expected output length of the class, as an exponential
    /// distribution.
    #[must_use]
    pub fn new(class: &note::GenerationClass) -> Self {
        let limit = class.output_limit_tokens.max(u32::from(BUCKET_COUNT));
        let bucket_tokens = f64::from(limit) / f64::from(BUCKET_COUNT);
        let mean = f64::from(class.expected_output_tokens.max(1));
        let counts = (0..BUCKET_COUNT)
            .map(|bucket| {
                let begin = f64::from(bucket) * bucket_tokens;
                let fraction = (-begin / mean).exp() - (-(begin + bucket_tokens) / mean).exp();
                PRIOR_WEIGHT * fraction
            })
            .collect();
        Self {
            bucket_tokens,
            counts,
        }
    }

    /// Adds the output length of a completed answer.
    pub fn observe(&mut self, tokens: u32) {
        for count in &mut self.counts {
            *count *= DECAY_FACTOR;
        }
        let bucket = self.bucket_of(f64::from(tokens));
        if let Some(count) = self.counts.get_mut(bucket) {
            *count += 1.0;
        }
    }

    /// Returns the mean output length, in tokens.
    #[must_use]
    pub fn mean(&self) -> f64 {
        let (sum, weight) = self.counts.iter().zip(0_u16..).fold(
            (0.0, f64::MIN_POSITIVE),
            |(sum, weight), (count, bucket)| {
                let middle = (f64::from(bucket) + 0.5) * self.bucket_tokens;
                (sum + count * middle, weight + count)
            },
        );
        sum / weight
    }

    /// Returns the probability that an answer of `generated` tokens ends with the next token.
    #[must_use]
    pub fn completion_probability(&self, generated: f64) -> f64 {
        let bucket = self.bucket_of(generated);
        let Some(rest) = self.counts.get(bucket..) else {
            return 0.0;
        };
        // Three buckets are combined to smooth the estimate.
        let nearby: f64 = rest.iter().take(3).sum();
        let width = self.bucket_tokens * f64::from(u8::try_from(rest.len().min(3)).unwrap_or(1));
        let total: f64 = rest.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let share = (nearby / total).min(0.999);
        1.0 - (1.0 - share).powf(1.0 / width.max(1.0))
    }

    fn bucket_of(&self, tokens: f64) -> usize {
        let bucket = (tokens / self.bucket_tokens).floor();
        let last = u16::try_from(self.counts.len().saturating_sub(1)).unwrap_or(0);
        let bounded = bucket.clamp(0.0, f64::from(last));
        bounded as usize
    }
}
