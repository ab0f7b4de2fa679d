//! Least-squares fit of a line to recent samples.

/// Number of samples after which the weight of a sample has decayed to `1 / e`.
const MEMORY_SAMPLES: f64 = 60.0;

/// Smallest variance of the input, relative to its squared mean, from which a slope is computed.
const MIN_RELATIVE_VARIANCE: f64 = 0.01;

/// Line through samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FittedLine {
    /// Value at an input of 0.
    pub intercept: f64,
    /// Increase of the value per unit of the input.
    pub slope: f64,
}

impl FittedLine {
    /// Returns the value at `input`.
    #[must_use]
    pub fn at(&self, input: f64) -> f64 {
        self.intercept + self.slope * input
    }
}

/// Least-squares fit of a line to recent samples, as sums that can be added up over instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinearFit {
    /// Weight of all samples.
    pub weight: f64,
    /// Weighted sum of the inputs.
    pub input: f64,
    /// Weighted sum of the values.
    pub value: f64,
    /// Weighted sum of the squared inputs.
    pub squared_input: f64,
    /// Weighted sum of the products of input and value.
    pub product: f64,
}

impl LinearFit {
    /// Creates the fit of one sample.
    #[must_use]
    pub fn of_sample(input: f64, value: f64) -> Self {
        let mut fit = Self::default();
        fit.observe(input, value);
        fit
    }

    /// Adds a sample and reduces the weight of the earlier ones.
    pub fn observe(&mut self, input: f64, value: f64) {
        let decay = (-1.0 / MEMORY_SAMPLES).exp();
        self.weight = self.weight * decay + 1.0;
        self.input = self.input * decay + input;
        self.value = self.value * decay + value;
        self.squared_input = self.squared_input * decay + input * input;
        self.product = self.product * decay + input * value;
    }

    /// Returns the fit with the weight of its samples multiplied by `factor`.
    #[must_use]
    pub fn weighted(self, factor: f64) -> Self {
        Self {
            weight: self.weight * factor,
            input: self.input * factor,
            value: self.value * factor,
            squared_input: self.squared_input * factor,
            product: self.product * factor,
        }
    }

    /// Adds the samples of another fit.
    pub fn merge(&mut self, other: &Self) {
        self.weight += other.weight;
        self.input += other.input;
        self.value += other.value;
        self.squared_input += other.squared_input;
        self.product += other.product;
    }

    /// Returns the line through the samples, with a positive slope and an intercept that isn't
    /// negative; `None` without samples, or when they contradict such a line.
    ///
    /// Samples of nearly equal inputs determine no slope; their line passes through the origin.
    #[must_use]
    pub fn line(&self) -> Option<FittedLine> {
        if self.input <= 0.0 || self.value <= 0.0 {
            return None;
        }
        let (mean_input, mean_value) = (self.input / self.weight, self.value / self.weight);
        let variance = self.squared_input / self.weight - mean_input * mean_input;
        let covariance = self.product / self.weight - mean_input * mean_value;
        let through_origin = FittedLine {
            intercept: 0.0,
            slope: mean_value / mean_input,
        };
        if variance < MIN_RELATIVE_VARIANCE * mean_input * mean_input {
            return Some(through_origin);
        }
        let slope = covariance / variance;
        if slope <= 0.0 {
            return None;
        }
        let intercept = mean_value - slope * mean_input;
        let line = FittedLine { intercept, slope };
        Some(if intercept < 0.0 {
            through_origin
        } else {
            line
        })
    }
}
