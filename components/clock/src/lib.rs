//! Time as a value: the control core receives it and never reads it.

mod clock_source;
mod moment;
mod system_clock;

pub use clock_source::ClockSource;
pub use moment::Moment;
pub use system_clock::SystemClock;
