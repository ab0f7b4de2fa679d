//! Time as a value: the control core receives it and never reads it.

mod clock_source;
mod moment;

pub use clock_source::ClockSource;
pub use moment::Moment;
