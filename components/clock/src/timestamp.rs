//! A point on an instance's monotonic clock.

use std::{ops, time};

/// A point on an instance's monotonic clock, in microseconds since its start.
///
/// Moments of different instances can't be compared; messages carry durations.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The latest representable moment.
    pub const MAX: Self = Self(u64::MAX);

    /// Makes a moment from microseconds since the clock's start.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Makes a moment from milliseconds since the clock's start.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the clock's start.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to here, or zero when `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the moment `span` before this one, no earlier than the clock's start.
    #[must_use]
    pub fn before(self, span: time::Duration) -> Self {
        Self(self.0.saturating_sub(span_micros(span)))
    }
}

impl ops::Add<time::Duration> for Timestamp {
    type Output = Self;

    fn add(self, span: time::Duration) -> Self {
        Self(self.0.saturating_add(span_micros(span)))
    }
}

fn span_micros(span: time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
